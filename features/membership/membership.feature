Feature: Membership of a cell
  Members agree on views, hold leases, and notice who is silent.

  Scenario: Membership forms a cell from the bootstrap members
    Given a membership cell of 5 processes
    When the membership cell runs for 4 seconds
    Then all membership processes share one view of 5 members and hold the lease

  Scenario: Membership forms a cell of a single process
    Given a membership cell of 1 processes
    When the membership cell runs for 4 seconds
    Then all membership processes share one view of 1 members and hold the lease

  Scenario: Membership forms no cell without a majority of the bootstrap members
    Given a membership cell of 5 processes
    When the membership process "b2" crashes
    And the membership process "b3" crashes
    And the membership process "b4" crashes
    And the membership cell runs for 30 seconds
    Then no membership process has a view or the lease

  Scenario: Membership evicts a crashed process
    Given a formed membership cell of 9 processes
    When the membership process "b0" crashes
    And the membership cell runs for 5 seconds
    Then all membership processes share one view of 8 members and hold the lease
    And the membership cell has sent the whole view to at most 4 members

  Scenario: Membership lets a process leave
    Given a formed membership cell of 9 processes
    When the membership process "b0" asks to leave
    And the membership cell runs for 1.5 seconds
    Then the membership process "b0" has left the view and is known from a previous view
    And the other membership processes share one view without "b0" and hold the lease

  Scenario: Membership tells a process that left of later views
    Given a formed membership cell of 5 processes
    When the membership process "b0" asks to leave
    And the membership cell runs for 2 seconds
    And the membership process "b1" crashes
    And the membership cell runs for 12 seconds
    Then the membership process "b0" knows the view of the others

  Scenario: Membership lets the last process leave
    Given a formed membership cell of 1 processes
    When the membership process "b0" asks to leave
    Then all membership processes have completed their leave

  Scenario: Membership lets all processes leave at once and keeps one to the last
    Given a formed membership cell of 3 processes
    When the membership process "b0" asks to leave
    And the membership process "b1" asks to leave
    And the membership process "b2" asks to leave
    And the membership cell runs for 2 seconds
    Then all membership processes have completed their leave
    And only the membership processes "b0" hold the lease

  Scenario: Membership reads the machine list at the start and at its interval
    Given a membership cell of 1 processes
    When the membership cell runs for 60 seconds
    Then the membership process "b0" has asked for the machine list 6 to 9 times

  Scenario: Membership joins by the machine list alone
    Given a formed membership cell of 3 processes
    When a membership process "z0" starts without seeds
    And the membership cell runs for 3 seconds
    Then all membership processes share one view of 4 members and hold the lease

  Scenario: Membership admits a new process
    Given a formed membership cell of 9 processes
    When a membership process "z0" starts
    And the membership cell runs for 3 seconds
    Then all membership processes share one view of 10 members and hold the lease

  Scenario: Membership tells a new process of the view before
    Given a formed membership cell of 3 processes
    When the membership process "b2" asks to leave
    And the membership cell runs for 2 seconds
    And a membership process "z0" starts
    And the membership cell runs for 3 seconds
    Then the membership process "z0" knows "b2" from a view before

  Scenario: Membership replaces a process that restarted at once
    Given a formed membership cell of 3 processes
    When the membership process "b1" crashes
    And a membership process "b1" starts
    And the membership cell runs for 3 seconds
    Then all membership processes share one view of 3 members and hold the lease

  Scenario: Membership takes several changes into one view
    Given a formed membership cell of 5 processes
    When a membership process "z0" starts
    And a membership process "z1" starts
    And the membership process "b4" asks to leave
    And the membership cell runs for 3 seconds
    Then the membership cell has agreed on at most 3 views

  Scenario: Membership never grows beyond the largest cell
    Given a formed membership cell of 16 processes
    When a membership process "z0" starts
    And the membership cell runs for 10 seconds
    Then the membership process "z0" is in state joining

  Scenario: Membership ignores processes of other cells
    Given a formed membership cell of 3 processes
    When a membership process "z0" of another cell starts
    And the membership cell runs for 10 seconds
    Then the membership process "z0" is in state joining
    And no membership view was decided since

  Scenario: Membership does not admit a process that hears nobody
    Given a formed membership cell of 3 processes
    When the membership process "z0" becomes deaf
    And a membership process "z0" starts
    And the membership cell runs for 10 seconds
    Then the membership process "z0" is in state joining
    And no membership view was decided since

  Scenario: Membership does not admit an incarnation that was evicted before
    Given a formed membership cell of 3 processes
    When the membership process "b0" pauses for 20 seconds
    And the membership cell runs for 10 seconds
    And an old join request of the membership process "b0" arrives
    And the membership cell runs for 1 seconds
    Then the other membership processes share one view without "b0" and hold the lease

  Scenario: Membership forms a new cell only after the leases of the old one are over
    Given a formed membership cell of 3 processes
    When the membership processes "b2" are cut off
    And the membership process "b0" crashes
    And the membership process "b1" crashes
    And a membership process "b0" starts
    And a membership process "b1" starts
    And the membership cell runs for 6 seconds
    Then only the membership processes "b0,b1" hold the lease
    When the membership partition heals
    And the membership cell runs for 8 seconds
    Then all membership processes share one view of 3 members and hold the lease

  Scenario: Membership ends leases once the next view is decided although nobody hears of it
    Given a formed membership cell of 3 processes
    When a membership process "z0" starts
    And the membership cell runs for 0.05 seconds
    And the membership network loses announcements, proposals not by "b0" and accepts to "b2"
    And the membership cell runs for 5 seconds
    Then no membership process holds the lease
    And the membership process "b2" suspected no one
    When the membership network loses no messages by kind
    And the membership cell runs for 5 seconds
    Then all membership processes share one view of 4 members and hold the lease

  Scenario: Membership waits out the longer leases of large cells
    Given a formed membership cell of 16 processes
    When the membership process "b1" asks to leave
    And the membership cell runs for 1 seconds
    Then the membership process "b0" waits out leases of a cell of 16

  Scenario: Membership waits out the longest leases where the former view is unknown
    Given a formed membership cell of 3 processes
    When a membership process "z0" starts
    And the membership process "b0" is told nothing until a later view
    Then the membership process "b0" waits out leases of a cell of 16

  Scenario: Membership brings back a process that paused
    Given a formed membership cell of 9 processes
    When the membership process "b0" pauses for 20 seconds
    And the membership cell runs for 19 seconds
    Then the other membership processes share one view without "b0" and hold the lease
    When the membership cell runs for 6 seconds
    Then all membership processes share one view of 9 members and hold the lease
    And the membership process "b0" suspected no one

  Scenario: Membership keeps the lease on the majority side of a partition only
    Given a formed membership cell of 9 processes
    When the membership processes "b0,b1,b2,b3" are cut off
    And the membership cell runs for 2.5 seconds
    Then only the membership processes "b4,b5,b6,b7,b8" hold the lease
    When the membership cell runs for 10 seconds
    Then only the membership processes "b4,b5,b6,b7,b8" hold the lease
    When the membership partition heals
    And the membership cell runs for 8 seconds
    Then all membership processes share one view of 9 members and hold the lease

  Scenario: Membership evicts a process that sends but does not receive
    Given a formed membership cell of 5 processes
    When the membership process "b2" becomes deaf
    And the membership cell runs for 7 seconds
    Then the other membership processes share one view without "b2" and hold the lease

  Scenario: Membership does not evict a process that most others hear
    Given a formed membership cell of 5 processes
    When the membership links "b0-b4" are cut
    And the membership cell runs for 20 seconds
    Then no membership view was decided since
    And the membership process "b0" takes "b4" as unreachable
    When a membership process "z0" starts
    And the membership cell runs for 6 seconds
    Then all membership processes share one view of 6 members and hold the lease

  Scenario: Membership admits others while an eviction is disputed
    Given a formed membership cell of 3 processes
    When the membership links "b0-b2,b1-z0,b2-z0" are cut
    And the membership cell runs for 10 seconds
    And a membership process "z0" starts
    And the membership cell runs for 3 seconds
    Then the membership process "z0" is in state active

  Scenario: Membership does not evict anyone at 10 percent loss
    Given a formed membership cell of 9 processes
    When the membership network loses 10 percent of messages
    And the membership cell runs for 300 seconds
    Then no membership view was decided since
    And no membership process lost the lease
    And at most 200 times a membership process suspected another
    And each membership process sent at most 1200 bytes a second

  Scenario Outline: Membership keeps its control traffic and leases in cells of any size
    Given a formed membership cell of <members> processes with many load samples
    When the membership network loses 10 percent of messages
    And the membership cell runs for 60 seconds
    Then no membership process lost the lease
    And each membership process sent at most 1700 bytes a second

    Examples:
      | members |
      | 3       |
      | 9       |
      | 12      |
      | 16      |

  Scenario: Membership voids the lease after a stall until new stamps are echoed
    Given a formed membership cell of 3 processes
    When the membership process "b0" notices a stall
    Then the membership process "b0" has no lease
    When the membership cell runs for 1 seconds
    Then all membership processes share one view of 3 members and hold the lease

  Scenario: Membership drops malformed messages
    Given a formed membership cell of 3 processes
    When the membership process "b0" receives a heartbeat that echoes the future
    And the membership process "b0" receives a join request in another's name
    And the membership process "b0" receives a view with members out of order
    Then the membership process "b0" has counted malformed input 3 times
    And no membership view was decided since

  Scenario: Membership views and leases stay exclusive under any faults
    Then the membership invariants hold for any faults
    And any membership cell whose processes all survive comes together again

  Scenario: Membership counts no vote of another incarnation
    Then a membership proposal is not decided by votes of other incarnations

  Scenario: Membership acceptors keep a view once it is chosen
    Then membership proposals of one epoch decide one view for any order of messages

  Scenario: What a proposal carries is the difference to the present view
    Then a membership difference of two views leads from one to the other
