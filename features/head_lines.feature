Feature: Only what is a head to the letter is read as one, and no head as a body

  # A status of 000 was skipped, and its body stood before that of the next answer.
  Scenario Outline: a head that is none to the letter is read as an answer
    When a server answers with the head "<head>", in pieces of each size
    Then it is read as no answer

    Examples:
      | head                                                                               |
      | HTTP/1.1 000 X / Content-Length: 2 / EMPTY / ok + signed                                |
      | HTTP/1.1 001 X / Content-Length: 2 / EMPTY / ok + signed                                |
      | HTTP/1.1 099 X / Content-Length: 2 / EMPTY / ok + signed                                |
      | HTTP/1.1 150 X / Content-Length: 2 / EMPTY / ok + signed                                |
      | HTTP/1.1 199 X / Transfer-Encoding: chunked / EMPTY / 2 / ok / 0 / EMPTY / + signed          |
      | HTTP/1.1 000 X / EMPTY / + signed                                                       |
      | HTTP/1.1 600 X / Content-Length: 2 / SIGNED / EMPTY / ok                                |
      | HTTP/1.1 999 X / Content-Length: 2 / SIGNED / EMPTY / ok                                |
      | HTTP/2.0 200 X / Content-Length: 2 / SIGNED / EMPTY / ok                                |
      | HTTP/0.9 200 X / Content-Length: 2 / SIGNED / EMPTY / ok                                |
      | RTSP/1.0 200 X / Content-Length: 2 / SIGNED / EMPTY / ok                                |
      | ICE/1.0 200 X / Content-Length: 2 / SIGNED / EMPTY / ok                                 |
      | HTTP/1.1 20 X / Content-Length: 2 / SIGNED / EMPTY / ok                                 |
      | HTTP/1.1 200 X / X-Odd name: a / Content-Length: 2 / SIGNED / EMPTY / ok                |
      | HTTP/1.1 200 X / X-Odd : a / Content-Length: 2 / SIGNED / EMPTY / ok                    |
      | HTTP/1.1 200 X / X-OddCTL: a / Content-Length: 2 / SIGNED / EMPTY / ok                  |
      | HTTP/1.1 200 X / X-Odd: HTTP/1.1 000 Y / Content-Length: 2 / SIGNED / EMPTY / ok        |
      | HTTP/1.1 200 X / X-Odd: HTTP/1.1 999 Y / Content-Length: 2 / SIGNED / EMPTY / ok        |
      | HTTP/1.1 200 X / SIGNED / EMPTY / ok + HTTP/1.1 000 Y / SIGNED / EMPTY |
      | HTTP/1.1 200 X / SIGNED / EMPTY / ok + HTTP/1.1 099 Y / SIGNED / EMPTY |
      | HTTP/1.1 200 X / SIGNED / EMPTY / ok + HTTP/1.1 600 Y / SIGNED / EMPTY |
      | HTTP/1.1 200 X / SIGNED / EMPTY / ok + HTTP/1.1 999 Y / SIGNED / EMPTY |
      | HTTP/1.1 200 X / SIGNED / EMPTY / ok + HTTP/1.1 200 Y / X-Odd name: a / SIGNED / EMPTY |
      | HTTP/1.1 200 X / SIGNED / EMPTY / ok + HTTP/1.1 200 Y / X-Odd : a / SIGNED / EMPTY |
      | HTTP/1.1 200 X / SIGNED / EMPTY / ok + HTTP/1.1 200 Y / X-OddCTL: a / SIGNED / EMPTY |
      | HTTP/1.1 200 X / SIGNED / EMPTY / ok + HTTP/1.1 000 Y / X-Odd name: a                   |

  Scenario Outline: a sound answer is refused
    When a server answers with the head "<head>", in pieces of each size
    Then it is read as <status> with the body "<body>"

    Examples:
      | head                                                                         | status | body                              |
      | HTTP/1.1 200 X / Content-Length: 2 / SIGNED / EMPTY / ok                          | 200    | ok                                |
      | HTTP/1.1 200 / Content-Length: 2 / SIGNED / EMPTY / ok                            | 200    | ok                                |
      | HTTP/1.0 200 X / SIGNED / EMPTY / ok                                              | 200    | ok                                |
      | HTTP/1.1 100 X / EMPTY / HTTP/1.1 103 Y / Link: a / EMPTY / HTTP/1.1 200 X / SIGNED / EMPTY / ok | 200 | ok                             |
      | HTTP/1.1 100 X / Content-Length: 0 / EMPTY / HTTP/1.1 200 X / SIGNED / EMPTY / ok      | 200    | ok                                |
      | HTTP/1.1 226 X / Content-Length: 2 / SIGNED / EMPTY / ok                          | 226    | ok                                |
      | HTTP/1.1 451 X / Content-Length: 2 / SIGNED / EMPTY / ok                          | 451    | ok                                |
      | HTTP/1.1 511 X / Content-Length: 2 / SIGNED / EMPTY / ok                          | 511    | ok                                |
      | HTTP/1.1 599 X / Content-Length: 2 / SIGNED / EMPTY / ok                          | 599    | ok                                |
      | HTTP/1.1 200 é / X-Name: é / Content-Length: 2 / SIGNED / EMPTY / ok              | 200    | ok                                |
      | HTTP/1.1 200 X / Via: 1.1 a, HTTP/1.1 10.0.0.1 / SIGNED / EMPTY / ok              | 200    | ok                                |
      | HTTP/1.1 200 X / SIGNED / EMPTY / see HTTP/1.1 200 OK, or HTTP/1.1 000            | 200    | see HTTP/1.1 200 OK, or HTTP/1.1 000 |
      | HTTP/1.1 200 X / SIGNED / EMPTY / HTTP/1.1 404 Y / Note: a / EMPTY / is an answer      | 200    | HTTP/1.1 404 Y / Note: a / EMPTY / is an answer |
