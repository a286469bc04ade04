Feature: Short soak of entry processes under injected faults

  Scenario Outline: invariants hold under a series of faults
    When the soak runs with seed <seed> for <seconds> seconds
    Then no invariant is violated and requests were served

    Examples: the usual seeds
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |

    Examples: seeds that failed once
      # Two evacuations of one zone overlapped, and the second ended the soak's task.
      | seed       | seconds |
      | 2612050121 | 10      |
      # Sound requests were refused for 0.1 s for the first part that they share with deadly ones.
      | 2612050205 | 8       |

  Scenario Outline: planned work cuts no request, and servers that are replaced get none of another
    When the soak runs with seed <seed> for 8 seconds and <faults> faults
    Then no invariant is violated and requests were served

    Examples: the usual seeds
      | seed | faults   |
      | 1    | planned  |
      | 2    | replaced |

    Examples: seeds that failed once
      # The copy of a 421 that broke off became the head of an answer: writes that ran were
      # answered 503, or ran at a second server.
      | seed       | faults   |
      | 2612064308 | replaced |
      | 2612064300 | planned  |
      # A write ran at the server that had refused it under another name, and at a third one.
      | 2612064314 | replaced |

  Scenario: a request that planned work cuts is reported
    Given a request that was passed on before its connection closed
    And one that was cut 0.1 seconds after it was sent, and one after 0.3 seconds
    When the cut requests are judged
    Then the first and the last are reported

  Scenario: a missing answer is reported without what its entry did
    Given a caller of a soak that waits for its answer
    When no answer comes, and the soak writes its report
    Then the violation names the entry and when the request was sent
    And the report holds the log of that entry
