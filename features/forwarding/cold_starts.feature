Feature: A back end that is slow from its start is given no more than it bears, by all together

  Scenario: Openings in any one second stay within the limit, whatever part of the fleet is cold
    Then forwarding property: in no second a cold back end is opened more often than it bears

  Scenario: Openings stay within the limit while processes are killed and the fleet is parted
    Then forwarding property: cold back ends are spared while views of the fleet differ

  Scenario: A service whose back ends are all cold is still given flows
    Then a fleet opens some flows of a service whose back ends are all cold

  Scenario: Without a limit in the settings a cold back end only counts as smaller
    Given a forwarding node with routes and back ends
    When forwarding learns of a back end that is slow from its start
    Then forwarding gives it less than half of an equal part

  Scenario: A balancer that has just started places no flow by a list that may be old
    Twelve back ends became slow, six of twenty balancers were started anew and the network was
    parted.  Each fresh balancer read the list at once, got an answer that was two seconds old, in
    which all were fast, and gave them new flows until it read again.  Of 85 flows opened in the
    seconds above the limit 58 were placed like this, one by a balancer whose turn it was, in each
    second.  Of one of them, in seconds from its start:
      0.02 backend_changed list changed=12 listed=12 rev=120 (store at 132)
      0.03 flow_placed, and more, at back ends that it takes for fast
      0.605 backend_changed list changed=12 listed=12 rev=132 (cold_s=60.0)
    Given a forwarding node that spares slow back ends and has just read a list that may be old
    Then forwarding lets a new flow wait and reads the list again within 0.1 seconds
    When forwarding reads that all back ends have become slow
    Then forwarding decides on the flow that waited, and no back end is given one

  Scenario: A reader that confirms the list takes the place of the second read
    Given a forwarding node that spares slow back ends and has just read a list that may be old
    Then forwarding lets a new flow wait and reads the list again within 0.1 seconds
    When a reader confirms the list that forwarding has read
    Then forwarding decides on the flow that waited, and back ends are given new ones

  Scenario: A reader that confirms another list confirms nothing
    Given a forwarding node that spares slow back ends and has just read a list that may be old
    When a reader confirms another list than forwarding has read
    Then forwarding lets a new flow wait

  Scenario: Flows wait for a confirmation for two seconds at most
    Given a forwarding node that spares slow back ends and has just read a list that may be old
    When every call to the store fails for 1.9 seconds
    Then forwarding lets a new flow wait
    When every call to the store fails for 0.2 seconds
    Then forwarding gives back ends new flows

  Scenario: A peer's list that readers have left behind is not taken for confirmed
    A fresh balancer had heard a reader confirm revision 132 when it took the list of a peer at
    revision 120, which had itself missed that change a moment before (backends_age_s=0.13), and
    gave new flows by it until 1.203 seconds from its start.
    Given a forwarding node that spares slow back ends and has heard a reader confirm revision 132
    When a peer sends its list of revision 120, confirmed 0.13 seconds ago
    Then forwarding lets a new flow wait and reads the list again within 0.6 seconds

  Scenario: Balancers that have missed a change keep cold back ends within the limit
    Five of six openings in the worst second of this seed are by balancers that were there all the
    time, and knew from a reader's confirmation that they had missed a change (revision 132, their own
    120).  Until a peer sends it, for some tenths of a second, they place flows by what they have.
    Then a fleet of seed 1230 keeps cold back ends within the limit while its views differ
