Feature: Metrics tell latencies as far as callers' packets show them

  Scenario: Latencies of openings and requests are counted where they belong
    Given a forwarding node with routes and back ends
    When forwarding sees a flow open in 4 ms and a request answered in 30 ms
    Then the forwarding metrics count 1 opening up to 0.005 s and 1 request up to 0.05 s

  Scenario: A request whose answer nobody acknowledges is not counted
    Given a forwarding node with routes and back ends
    When forwarding sees a request without an answer
    Then the forwarding metrics count no request

  Scenario: The latency of a back end is told while it is known
    Given a forwarding node with routes and back ends
    When forwarding sees three requests to one back end answered in 300 ms
    Then the forwarding metrics tell a latency of 0.3 s for that back end only
    And the forwarding metrics tell none 20 seconds later

  Scenario: Histograms add up
    Then forwarding property: counts of a histogram only grow with its bounds and end at the total
