Feature: A back end that leaves gets no new flow after seconds, whoever knew of it

  Back ends that had said that they leave were still given new flows, in one deployment after
  more than the 3.0 seconds that it allows.  The scenarios below are the ways found in which a
  balancer that nothing has disturbed knows too late, or never.

  Scenario: A balancer that the store serves knows in time, whoever else is turned away
    The store turned the readers away just before a back end left.  Balancers that it went on
    serving learned of nothing: for two seconds they counted the readers as there, then three
    others claimed to read that were turned away too, and only the second or third round of
    claims brought one that was served.  Its first line about the back end came 2.80 seconds
    after the drain, in other runs 3.07 seconds:
      3.70 store_lost reason=unreachable (three readers)
      3.86 (the back end says that it leaves)
      5.68 role_changed claimant heard=0 fresh=False (three that are turned away)
      6.657 backend_changed list changed=1 rev=13 (the one that is served)
    Then forwarding property: a balancer that the store serves knows within 2.5 seconds that a back end leaves

  Scenario: A back end that a complete list does not hold is gone, whoever tells of it
    A balancer that had slept passed on what it had heard before.  Others held lists that were
    complete up to a later revision and no longer had the back end in them.  They took it as a
    new one, and gave it new flows for good, since no later change was ever told of it:
      28.905 backend_changed list changed=4 listed=4 rev=125
      28.965 backend_changed i-00000065 state=ready rev=118 told=peer
      29.43 list_differs rev=128 told_rev=128
    Given a forwarding node whose list is complete up to revision 125
    When a peer tells forwarding of a ready back end of revision 118 that the list does not hold
    Then forwarding gives that back end no new flow

  Scenario: A list that differs from the readers' is read anew
    A balancer started with a list that was some seconds old.  The reader that it heard had
    started later, so it had never known the back end that had left in between, and named no
    change younger than the list.  The balancer took its list for complete up to the reader's
    revision and gave the departed back end new flows for good:
      39.030 backend_changed list changed=4 listed=4 rev=133
      39.85 list_differs rev=144 told_rev=144
    Given a fresh forwarding node whose list of revision 133 holds a back end that has left
    When a reader that never knew that back end confirms all up to revision 144
    Then forwarding has asked for the whole list within 1.5 seconds

  Scenario: An answer of the store that a later one has overtaken brings nothing back
    A watch was answered just before a balancer slept; the list that it read as it woke, without
    the back end, was there first.  The answer to the watch then listed the back end again:
      22.777 backend_changed list changed=2 listed=8 rev=122
      23.486 backend_changed i-00000067 state=ready rev=118
    Given a forwarding node whose list is complete up to revision 125
    When a watch answers late and tells of a ready back end of revision 118
    Then forwarding gives that back end no new flow

  Scenario: A back end that had said that it leaves is no last resort for one who heard of it late
    A balancer that starts after a back end has left is told of it for the sake of its open flows,
    with the state it has then, gone.  Where its service had no other, new flows went to back ends
    that had vanished without a word; one that had said that it leaves counted as such.
    Given a forwarding node whose list is complete up to revision 125
    When a peer tells forwarding of the only back end of a service, which said that it leaves and is gone
    Then forwarding gives that back end no new flow

  Scenario: Lists have one digest exactly where they hold the same entries
    Then forwarding property: two lists have one digest where they hold the same entries, and else not

  Scenario: Watches that lose their answers keep no reader from what has changed
    An answer to a watch was lost without a word, and the connection said nothing more.  The
    reader went on confirming by the answers to its probes beside it, for up to 25 seconds:
      17.95 change_missed store_rev=112 known_rev=110
      29.78 change_missed store_rev=129 known_rev=110
    Then forwarding property: a whole fleet knows within 2.5 seconds that a back end leaves, though its watches lose their answers

  Scenario: A store in which others write much is not read for each of their changes
    Given a simulated fleet of 7 forwarding nodes
    When others write to the store 5 times a second for 20 seconds
    Then the forwarding fleet has called the store less than 8 times a second
