Feature: A read of the store goes on while it makes progress

  Scenario: entries that start read a configuration of 1 MB over a slow link
    Given a store that sends 60000 bytes each 0.1 s and holds a configuration of 1 MB
    When an entry starts before it
    Then it is ready within 10 seconds, after one read of the store

  Scenario: an entry learns a configuration of 1 MB from a peer that the link serves slowly
    Given an exchange of a body of 1 MB that brings 60000 bytes each 0.1 s
    When it is fetched with a time limit of 0.8 s for progress of 32768 bytes
    Then it is complete

  Scenario: a read that stalls ends
    Given an exchange of a body of 1 MB that brings 1000 bytes each 0.1 s
    When it is fetched with a time limit of 0.8 s for progress of 32768 bytes
    Then it fails as not complete in time, after 10 parts at most
