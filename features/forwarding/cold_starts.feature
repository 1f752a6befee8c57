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
    Given a forwarding node that spares slow back ends and has just read a list that may be old
    Then forwarding lets a new flow wait and reads the list again within 0.1 seconds
    When forwarding reads that all back ends have become slow
    Then forwarding decides on the flow that waited, and no back end is given one

  Scenario: A reader's confirmation of the list replaces the second read
    Given a forwarding node that spares slow back ends and has just read a list that may be old
    Then forwarding lets a new flow wait and reads the list again within 0.1 seconds
    When a reader confirms the list that forwarding has read
    Then forwarding decides on the flow that waited, and back ends are given new ones

  Scenario: A reader's confirmation of a different list does not count
    Given a forwarding node that spares slow back ends and has just read a list that may be old
    When a reader confirms another list than forwarding has read
    Then forwarding lets a new flow wait

  Scenario: New flows wait at most two seconds for a confirmation
    Given a forwarding node that spares slow back ends and has just read a list that may be old
    When every call to the store fails for 1.9 seconds
    Then forwarding lets a new flow wait
    When every call to the store fails for 0.2 seconds
    Then forwarding gives back ends new flows

  Scenario: A peer's list that is older than the readers' does not count as confirmed
    Guards against trusting the list of a peer that has missed a change.  The peer's list is at revision
    120 and was confirmed just before the change, while a reader has already confirmed revision 132.
    Given a forwarding node that spares slow back ends and has heard a reader confirm revision 132
    When a peer sends its list of revision 120, confirmed 0.13 seconds ago
    Then forwarding lets a new flow wait and reads the list again within 0.6 seconds

  Scenario: Balancers that have missed a change keep cold back ends within the limit
    Guards against placing flows while a change is known to be missing.  A reader's confirmation shows a
    balancer that it has missed a change; until a peer sends the change, it places flows by its old list.
    Then a fleet of seed 1230 keeps cold back ends within the limit while its views differ
