Feature: Models of the stand-in back ends, callers and fabric

  Scenario: A back end runs no more requests at once than it has slots
    Then standins back end property: running requests stay within the slots and queued ones within the queue

  Scenario: A back end refuses only requests that it has not run
    Then standins back end property: every request packet is either run and answered completely or refused

  Scenario: A draining back end accepts no new flow and serves its open flows
    Given a standins back end with an open flow
    When the standins back end is drained
    Then the standins back end refuses a new flow and answers the open one

  Scenario: A feed is sent to the source address of the flow's last packet
    Given a standins back end with an open flow
    When the standins flow subscribes to a feed and then moves to another address
    Then the standins feed continues at the new address without a gap

  Scenario: A caller accepts only complete answers to its own requests
    Then standins caller property: with loss, duplication and reordering it accepts no answer to another request
    And standins caller property: a truncated answer or one mixed from two executions is never accepted

  Scenario: A caller detects broken flows
    Then a standins caller counts a lost flow as broken
    And a standins caller counts a change of back end as broken
    And a standins caller counts silence as broken
    And a standins caller counts a reply of another service as misrouted
    And a standins caller records a refusal that comes after the answer

  Scenario: The fabric sprays datagrams over all live balancers and no others
    Then standins fabric property: each datagram is delivered, lost or duplicated as counted, to live balancers
