Feature: The whole fleet ejects back ends that leave requests unanswered

  Scenario: Which requests count as unanswered
    Then exactly the requests that have waited for too long count as unanswered, for any sequence of requests

  Scenario: When a back end is ejected, and for how long
    Then an ejection needs several failures within a window and has a bounded duration, for any reports

  Scenario: How many back ends are ejected at most
    Then at most a third of the back ends a flow may go to is ejected, for any ejections received

  Scenario Outline: A back end stops answering under full load
    Given a fleet of 12 balancers that forwards 300 flows per second to 9 back ends
    When <count> back ends stop answering while a share of <loss> of the messages between balancers is lost
    Then within 1.5 seconds they get less than a tenth of the new flows they got before
    And no other back end is ejected

    Examples:
      | count | loss |
      | 1     | 0.0  |
      | 2     | 0.0  |
      | 2     | 0.3  |

  Scenario: A back end is used again once it answers
    Given a fleet of 12 balancers that forwards 300 flows per second to 9 back ends
    When 1 back ends stop answering while a share of 0.0 of the messages between balancers is lost
    And they answer again after 3 seconds
    Then within 5 seconds they get at least half of the new flows they got before

  Scenario: If all back ends stop answering, all of them still get new flows
    Given a fleet of 12 balancers that forwards 300 flows per second to 9 back ends
    When 9 back ends stop answering while a share of 0.0 of the messages between balancers is lost
    Then every back end still gets new flows after 3 seconds

  Scenario: The balancers assigned to a back end fail
    Given a fleet of 12 balancers that forwards 300 flows per second to 9 back ends
    When the balancers assigned to a back end are killed as it stops answering
    Then within 8 seconds they get less than a fifth of the new flows they got before

  Scenario: A balancer whose own link fails does not eject the back ends
    Given a fleet of 12 balancers that forwards 300 flows per second to 9 back ends
    When no answer reaches the callers of one balancer
    Then never more than one back end is ejected

  Scenario: Open flows of an ejected back end continue
    Given a forwarding node with routes and back ends
    When forwarding receives an ejection of back end 1 from a peer
    Then forwarding places no new flow on it, forwards its open flows and resets none
