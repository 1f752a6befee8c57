Feature: Metrics report the latencies that callers' packets reveal

  Scenario: Latencies of openings and requests are counted in the right buckets
    Given a forwarding node with routes and back ends
    When forwarding observes a flow opened in 4 ms and a request answered in 30 ms
    Then the forwarding metrics count 1 opening up to 0.005 s and 1 request up to 0.05 s

  Scenario: A request whose answer is not acknowledged is not counted
    Given a forwarding node with routes and back ends
    When forwarding observes a request without an answer
    Then the forwarding metrics count no request

  Scenario: The latency of a back end is reported while it is known
    Given a forwarding node with routes and back ends
    When forwarding observes three requests to one back end answered in 300 ms
    Then the forwarding metrics report a latency of 0.3 s for that back end only
    And the forwarding metrics report none 20 seconds later

  Scenario: Histograms are cumulative
    Then forwarding property: counts of a histogram increase with its bounds up to the total
