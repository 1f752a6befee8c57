Feature: All balancers together respect the slow-start limit of a cold back end

  Scenario: New flows in any second stay within the limit, whatever share of the back ends is cold
    Then forwarding property: in any second a cold back end gets no more new flows than its limit

  Scenario: New flows stay within the limit while balancers are killed and the network is partitioned
    Then forwarding property: cold back ends stay within their limit while views of the fleet differ

  Scenario: A service whose back ends are all cold still gets flows
    Then a fleet opens some flows of a service whose back ends are all cold

  Scenario: Without a limit in the settings a cold back end only counts as smaller than others
    Given a forwarding node with routes and back ends
    When forwarding receives the entry of a cold back end
    Then forwarding places less than half of an equal share of flows on it

  Scenario: A balancer that has just started places no flow by a list that may be out of date
    Guards against placing flows by an outdated list.  A balancer reads the list as it starts, and the
    answer may be some seconds old.  Back ends that have become cold since then appear warm in it, so
    each balancer that starts gives them new flows until its next read, without a limit.
    Given a forwarding node with slow start that has just read a list that may be stale
    Then forwarding queues a new flow and reads the list again within 0.1 seconds
    When forwarding reads that all back ends have become cold
    Then forwarding decides again on the queued flow, and places no new flow

  Scenario: A reader's confirmation of the list replaces the second read
    Given a forwarding node with slow start that has just read a list that may be stale
    Then forwarding queues a new flow and reads the list again within 0.1 seconds
    When a reader confirms the list that forwarding has read
    Then forwarding decides again on the queued flow, and places new flows

  Scenario: A reader's confirmation of a different list does not count
    Given a forwarding node with slow start that has just read a list that may be stale
    When a reader confirms a list other than the one forwarding has read
    Then forwarding queues a new flow

  Scenario: New flows wait at most two seconds for a confirmation
    Given a forwarding node with slow start that has just read a list that may be stale
    When every call to the store fails for 1.9 seconds
    Then forwarding queues a new flow
    When every call to the store fails for 0.2 seconds
    Then forwarding places new flows

  Scenario: A peer's list that is older than the readers' does not count as confirmed
    Guards against trusting the list of a peer that has missed a change.  The peer's list is at revision
    120 and was confirmed just before the change, while a reader has already confirmed revision 132.
    Given a forwarding node with slow start to which a reader has confirmed revision 132
    When a peer sends its list of revision 120, confirmed 0.13 seconds ago
    Then forwarding queues a new flow and reads the list again within 0.6 seconds

  Scenario: Balancers that have missed a change keep cold back ends within the limit
    Guards against placing flows while a change is known to be missing.  A reader's confirmation shows a
    balancer that it has missed a change; until a peer sends the change, it places flows by its old list.
    Then a fleet of seed 1230 keeps cold back ends within the limit while its views differ
