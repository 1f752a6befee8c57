Feature: Replies that pass the balancer are evidence of working back ends

  Back ends reply through the balancer, so it need not wait for the caller's next packet to know
  that a request was answered.

  Background:
    Given a running node with 4 back ends of a service

  Scenario Outline: Answered requests do not count against their back ends, however long callers rest
    When <count> of the back ends get a request on each of 8 flows every 2 seconds for 60 seconds and answer
    Then no request counts as unanswered and no back end is passed over

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario Outline: A reply that says a request was not run is no silence either
    When a request is replied to with <kind>
    Then no request counts as unanswered and no back end is passed over

    Examples:
      | kind         |
      | refused      |
      | cancelled    |
      | flow_unknown |

  Scenario: A back end that leaves its requests unanswered is passed over
    When 1 of the back ends gets a request on each of 8 flows every 2 seconds for 10 seconds and is silent
    Then all 40 requests count as unanswered and that back end is passed over

  Scenario Outline: Other packets of back ends do not answer a request that waits
    When a request waits and its balancer gets <packet>
    Then 1 request counts as unanswered

    Examples:
      | packet                                      |
      | a late copy of the answer to the one before |
      | the answer of another back end              |
      | the answer to a request of another flow     |
      | a push of a feed                            |
      | the answer to a keepalive                   |

  Scenario: A request is under way until the first part of its answer passes
    When a request is answered in 3 parts that pass in any order
    Then it is under way until the first of them and never again

  Scenario Outline: The latency of a request is counted once, and not at all where it was not run
    When an observer of flows sees a request, <reply> and the caller's next packet
    Then it has counted <count> latencies and no request is under way

    Examples:
      | reply            | count |
      | the answer       | 1     |
      | the answer twice | 1     |
      | a refusal        | 0     |
