Feature: What may not be repeated runs at most once

  Scenario: A flow is opened, recorded and served
    Given a routing cell of three balancers
    When routing opens a flow through every balancer in turn
    Then routing has at least two copies of each flow and each request ran once

  Scenario: Two balancers that both act as primary cannot both hand a request over
    Then routing property: duplicates over balancers that suspect each other run once

  Scenario: A change of view between copies of a request does not run it twice
    Then routing property: copies before and after a view change run once

  Scenario: Members dropped from the view but still alive are harmless
    Then routing property: members dropped from the view but still alive do not run a request twice

  Scenario: Told not run means not run
    Then routing property: a refusal is never followed or preceded by an execution

  Scenario: A refusal of a cancellation proves nothing about the request
    Given a routing cell of three balancers
    When routing has a request run, its back end restarted and the request cancelled before the answer
    Then routing does not say that the request was not run

  Scenario: A request cancelled before it comes never runs
    Given a routing cell of three balancers
    When routing gets a cancellation and only then the request
    Then routing says that the request was not run, and it is not

  Scenario: A request still running through a balancer that has left is not given up
    Given a routing cell of three balancers
    When routing has a request running for long through a balancer that has left the view
    Then routing tells the caller to ask again, and the answer comes once

  Scenario: A claim under way at a change of view is given up, and the request is run afterwards
    Given a routing cell of three balancers
    When routing changes the view while a claim is under way, and the caller asks again
    Then routing answers the request, which ran once, and never calls its outcome unknown for good

  Scenario: An entry lost on every replica is found at its back end
    Given a routing cell of three balancers
    When routing loses all entries of an established flow
    Then routing finds the back end again and does not repeat the request

  Scenario: A back end of another service or of another flow is not believed
    Given a routing cell of three balancers
    When routing receives an answer from a back end the flow is not pinned to
    Then routing drops the answer and counts it as crossed
