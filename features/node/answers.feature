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
