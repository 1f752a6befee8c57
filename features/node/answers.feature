Feature: Replies that pass through the balancer show that back ends work

  Back ends reply through the balancer, so it does not need the caller's next packet to find out that a
  request was answered.

  Background:
    Given a running node with 4 back ends of a service

  Scenario Outline: Answered requests do not count against their back ends, however long callers are idle
    When <count> of the back ends get a request on each of 8 flows every 2 seconds for 60 seconds and answer
    Then no request counts as unanswered and no back end is ejected

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario Outline: A request with a reply that it was not run does not count as unanswered
    When a request is replied to with <kind>
    Then no request counts as unanswered and no back end is ejected

    Examples:
      | kind         |
      | refused      |
      | cancelled    |
      | flow_unknown |

  Scenario: A back end that does not answer its requests is ejected
    When 1 of the back ends gets a request on each of 8 flows every 2 seconds for 10 seconds and is silent
    Then all 40 requests count as unanswered and that back end is ejected

  Scenario Outline: Other packets of back ends do not count as the answer to a request
    When a request is unanswered and its balancer receives <packet>
    Then 1 request counts as unanswered

    Examples:
      | packet                                      |
      | a late duplicate of the previous answer     |
      | the answer of another back end              |
      | the answer to a request of another flow     |
      | a push of a feed                            |
      | the answer to a keepalive                   |

  Scenario: A request is in flight until the first part of its answer arrives
    When a request is answered in 3 parts that arrive in reverse order
    Then it is in flight until the first of them and never again

  Scenario Outline: The latency of a request is counted once, and not at all if it was not run
    When a flow observer sees a request, <reply> and the caller's next packet
    Then it has counted <count> latencies and no request is in flight

    Examples:
      | reply            | count |
      | the answer       | 1     |
      | the answer twice | 1     |
      | a refusal        | 0     |
