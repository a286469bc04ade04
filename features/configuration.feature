Feature: Dissemination of the configuration

  Scenario: versions in force never decrease and survive restarts
    When the dissemination of versions is explored with 2 restarts
    Then every invariant of the dissemination holds

  Scenario Outline: the model checker finds a violation when a guard is removed
    When the dissemination of versions is explored without <guard>
    Then the model checker finds a violation of "<fault>"

    Examples:
      | guard | fault                      |
      | hold  | never reverts by a restart |
      | floor | never reverts by a restart |
      | order | never falls in one life    |

  Scenario: a process without peers after a restart may accept an older version
    When the dissemination of versions is explored with 1 restart and holds that end early
    Then the model checker finds a violation of "never reverts by a restart"
    And the invariant "never falls in one life" holds

  Scenario: the decision classes follow the specification step by step
    When the decision classes are stepped through 800 states of the specification
    Then they agree at more than 4000 steps

  Scenario: generated histories end with the same document as a naive reference
    Then 300 generated histories put the document of the naive reference in force

  Scenario: all processes agree on one of two contents of the same version
    When two processes receive two contents of version 4 in opposite order
    Then both have the same content in force

  Scenario: a document is requested once and sent only on request
    When 50 peers report a newer version repeatedly before the document arrives
    Then the process has asked 1 peer
    And a peer sends a document only on request

  Scenario: an unresponsive peer is replaced by another one
    When the first peer that was asked does not reply
    Then another peer is asked after the request timeout

  Scenario: an invalid document is neither requested nor read again
    When an invalid document of version 5 is received
    Then version 5 is not requested again and is not read again
    And version 6 is accepted afterwards

  Scenario: reads do not grow with the fleet
    When fleets of 30 and 300 processes run for 60 seconds
    Then both read the service equally often with ranked readers
    But reads grow tenfold when every process reads

  Scenario: the next agents take over from failed readers
    When all regular readers of each zone fail
    Then a read reaches the service within three takeover delays

  Scenario: an unresponsive service is not overloaded
    When the service is down for a fleet of 900 processes in 3 zones
    Then it gets at most 60 reads a second of one document
