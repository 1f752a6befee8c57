Feature: Comparing what callers were told with what back ends ran

  Scenario: A run without faults gives no finding
    Given standins evidence of one request that was answered
    Then the standins checks find nothing

  Scenario Outline: Each broken promise is found
    Given standins evidence of one request that was answered
    When the standins evidence is changed so that <fault>
    Then the standins checks find only <promise>

    Examples:
      | fault                                 | promise          |
      | the flow broke                        | flow-kept        |
      | a foreign service replied             | service-kept     |
      | a back end of another service ran it  | service-kept     |
      | a back end in a denied place ran it   | place-kept       |
      | the answer was not whole              | own-answer       |
      | nobody ran it                         | own-answer       |
      | the caller was told it was not run    | refused-not-run  |
      | the caller was later told it was not  | refused-not-run  |
      | it ran twice                          | run-at-most-once |
      | the back end had left before          | leaving-idle     |

  Scenario: Imbalance compares requests per slot
    Given standins evidence of one request that was answered
    Then the standins balance of its service is 2 over 2 back ends

  Scenario: A run in which nothing was run is found
    Given standins evidence of one request that was answered
    Then standins find that it was served, and that the same evidence without executions was not
