Feature: A back end that is leaving gets no new flows after a few seconds

  Guards against new flows on a back end that has announced more than 3.0 seconds ago that it is
  leaving.  Each scenario is one way in which a balancer that works normally learns this too late, or
  never.

  Scenario: A balancer that the store serves learns in time, even if the store refuses all others
    The store refuses the readers just before the change.  Balancers that it still serves consider the
    readers present for two seconds, then other refused balancers become candidates, and only the
    second or third round of candidates includes a served one.
    Then forwarding property: a balancer that the store serves learns within 2.5 seconds that a back end is leaving

  Scenario: A back end that is missing from a complete list has departed, whatever peers send
    A balancer that has stalled sends peers an old entry of a departed back end.  Their lists are
    complete up to a later revision and no longer contain the back end.  If they add it as a new one,
    it gets new flows permanently, because no later change mentions it.
    Given a forwarding node whose list is complete up to revision 125
    When a peer sends forwarding a ready back end of revision 118 that the list does not contain
    Then forwarding places no new flow on that back end

  Scenario: A list that differs from the readers' is read again
    A balancer starts with a list that is some seconds old.  A reader that has started later never had
    the back end that departed in between, so its confirmation contains no change of it.  If the
    balancer considers its list complete up to the reader's revision, the departed back end gets new
    flows permanently.
    Given a forwarding node that has just started, whose list of revision 133 contains a departed back end
    When a reader that never had that back end in its list confirms all changes up to revision 144
    Then forwarding has requested the complete list within 1.5 seconds

  Scenario: An outdated answer of the store does not restore a departed back end
    A watch is answered just before a balancer stalls.  After the stall the balancer first handles a
    newer list without the back end, then the answer to the watch, which still contains it.
    Given a forwarding node whose list is complete up to revision 125
    When a watch answers late with a ready back end of revision 118
    Then forwarding places no new flow on that back end

  Scenario: A back end that announced its departure is no last resort for a balancer that learns of it late
    A balancer that starts after a back end has departed receives its entry from a peer, with the state
    departed, so that it can forward its open flows.  A service without listed back ends uses those that
    departed unannounced; one that had announced its departure must not count as such.
    Given a forwarding node whose list is complete up to revision 125
    When a peer sends forwarding the only back end of a service, which departed after announcing that it is leaving
    Then forwarding places no new flow on that back end

  Scenario: Two lists have the same checksum if and only if they contain the same entries
    Then forwarding property: two lists have the same checksum if and only if they contain the same entries

  Scenario: Lost answers to watches do not keep changes from a reader
    An answer to a watch is lost and its connection stays silent.  The reader continues to confirm its
    state by the answers to its probes, although it has missed the change.
    Then forwarding property: a whole fleet learns within 2.5 seconds that a back end is leaving, although answers to its watches are lost

  Scenario: Frequent writes of others to the store do not cause a read each
    Given a simulated fleet of 7 forwarding nodes
    When others write to the store 5 times per second for 20 seconds
    Then the forwarding fleet has called the store less than 8 times per second
