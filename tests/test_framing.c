#include "berylvane/caller/framing.h"
#include "support.h"

typedef struct {
    const char *lines;
    uint16_t status;
} case_t;

#define HOST "Host: a.example\r\n"

static const case_t cases[] = {
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

START_TEST(test_heads)
{
    ck_assert_msg(bv_framing_check(cases[_i].lines) == cases[_i].status, "%s",
                  cases[_i].lines);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"heads", test_heads, G_N_ELEMENTS(cases)},
                                    {NULL}};
    return support_run("framing", tests);
}
