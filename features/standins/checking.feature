Feature: Comparing the replies to callers with the executions of back ends

  Scenario: A run without faults produces no finding
    Given standins evidence of one request that was answered
    Then the standins checks find nothing

  Scenario Outline: Each broken promise is found
    Given standins evidence of one request that was answered
    When the standins evidence is changed so that <fault>
    Then the standins checks find only <promise>

    Examples:
      | fault                                 | promise          |
      | the flow broke                        | flow-kept        |
      | a back end of another service replied | service-kept     |
      | a back end of another service ran it  | service-kept     |
      | a back end in a denied place ran it   | place-kept       |
      | the answer was incomplete             | own-answer       |
      | no back end ran it                    | own-answer       |
      | it was refused                        | refused-not-run  |
      | a refusal followed the answer         | refused-not-run  |
      | it ran twice                          | run-at-most-once |
      | the back end was drained before       | leaving-idle     |

  Scenario: Imbalance is measured in requests per slot
    Given standins evidence of one request that was answered
    Then the standins balance of its service is 2 over 2 back ends

  Scenario: A run without any execution produces a finding
    Given standins evidence of one request that was answered
    Then the standins checks find it served, and not served without executions
