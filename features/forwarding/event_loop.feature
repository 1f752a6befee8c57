Feature: The event loop of the process on the platform

  Scenario: Each wait ends at its event or deadline, regardless of other waits
    Then loop property: each wait ends when its stream is readable or at its deadline, in the order of time

  Scenario: A callback is called as long as its socket is readable
    When an event loop watches a socket that is sent three datagrams
    Then the event loop has called back until all three were read

  Scenario: A moving deadline is followed
    When an event loop follows a deadline that moves by 0.3 seconds each time
    Then the event loop has called at each of the deadlines

  Scenario: An error in a coroutine ends the loop and closes the waiting coroutines
    When a coroutine of an event loop fails while another one waits
    Then the event loop has ended with that error and the other coroutine is closed

  Scenario: A connection above the limit is closed, and another one is served after one has ended
    When 3 connections reach an event loop that serves 2 at once
    Then the event loop has closed the third one and counted it
    And the event loop serves another one after the first has ended

  Scenario: A failing accept does not keep the loop busy
    When an event loop cannot accept for a second
    Then the event loop has attempted at most 25 accepts, and accepts again once it can

  Scenario: The balancer imports almost nothing before its sockets are bound
    Then the balancer on the platform imports almost nothing before it binds its sockets

  Scenario: The balancer imports no slow module at its start
    Then the balancer on the platform imports neither trio nor h11 nor another slow module
