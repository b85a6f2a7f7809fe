#include "berylvane/caller/framing.h"
#include "support.h"

/*
 * Guards against request smuggling: a request whose length or host is missing
 * or ambiguous, or whose header names are malformed, must be refused with 400.
 */

typedef struct {
    /* All header lines of a request. */
    const char *lines;
    /* 0 if the request is accepted. */
    uint16_t status;
} framing_case_t;

#define HOST "Host: a.example\r\n"

static const framing_case_t cases[] = {
    {HOST, 0},
    {HOST "Content-Length: 4\r\n", 0},
    {HOST "Transfer-Encoding: chunked\r\n", 0},
    {HOST "transfer-encoding: Chunked\r\n", 0},
    {"", 400},
    {HOST HOST, 400},
    {HOST "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", 400},
    {HOST "Content-Length: 4\r\nContent-Length: 4\r\n", 400},
    {HOST "Content-Length: 4\r\ncontent-length: 5\r\n", 400},
    {HOST "Content-Length: 4, 4\r\n", 400},
    {HOST "Content-Length: -1\r\n", 400},
    {HOST "Content-Length: +1\r\n", 400},
    {HOST "Content-Length: 0x4\r\n", 400},
    {HOST "Content-Length: \r\n", 400},
    {HOST "Content-Length : 4\r\n", 400},
    {HOST "Transfer-Encoding: xchunked\r\n", 400},
    {HOST "Transfer-Encoding: gzip, chunked\r\n", 400},
    {HOST "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400},
    {HOST "X Y: 1\r\n", 400},
    {HOST ": 1\r\n", 400},
};

START_TEST(test_request_headers)
{
    ck_assert_msg(bv_framing_check(cases[_i].lines) == cases[_i].status, "%s",
                  cases[_i].lines);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"request_headers", test_request_headers, G_N_ELEMENTS(cases)},
        {NULL}};
    return support_run("framing", tests);
}
