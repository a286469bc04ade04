Feature: Spreading of the configuration

  Scenario: versions that spread never fall and survive restarts
    When the spreading of versions is explored with 2 restarts
    Then every invariant of the spreading holds

  Scenario Outline: the checker finds the fault when a guard is taken out
    When the spreading of versions is explored without <guard>
    Then the checker finds that the version <fault>

    Examples:
      | guard | fault                      |
      | hold  | never reverts by a restart |
      | floor | never reverts by a restart |
      | order | never falls in one life    |

  Scenario: a process cut off alone may take an older version from the service
    When the spreading of versions is explored with 1 restart with a cut
    Then the checker finds that the version never reverts by a restart
    And the version never falls in one life

  Scenario: the decision classes follow the specification step by step
    When the decision classes are stepped through 800 states of the specification
    Then they agree at more than 4000 steps

  Scenario: generated histories end as in the naive version
    Then 300 generated histories put in force what the naive version does

  Scenario: one version with two contents ends the same everywhere
    When two processes get two contents of version 4 in opposite order
    Then both have the same content in force

  Scenario: a large document is asked for once and sent once
    When 50 peers tell a newer version again and again before the document comes
    Then the process asked 1 peer
    And each peer that was not asked sent nothing

  Scenario: a silent peer is replaced by another one
    When the first peer that was asked stays silent
    Then another peer is asked after the request timeout

  Scenario: a document with faults is neither checked nor read again
    When a document of version 5 with faults comes
    Then version 5 is not asked for again and is not read again
    And version 6 is accepted afterwards

  Scenario: reads do not grow with the fleet
    When fleets of 30 and 300 processes run for 60 seconds
    Then both read the service equally often under ranked readers
    But reads grow tenfold when every process reads

  Scenario: the next agents take over from dead readers
    When every first reader of each zone dies
    Then a read reaches the service within three takeover times

  Scenario: a service that answers nobody is not overrun
    When the service is down for a fleet of 900 processes in 3 zones
    Then it gets at most 60 reads a second of one source
