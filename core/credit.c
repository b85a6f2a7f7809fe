#include "berylvane/core/credit.h"

#include "berylvane/common/invariant.h"

typedef struct {
    bv_id_t id;
    /* Differs for each ledger, also of the same request. */
    uint64_t number;
    uint32_t holders;
    uint64_t granted;
    uint64_t available;
    uint64_t lent;
    uint64_t spent;
    uint64_t returned;
} ledger_t;

struct bv_credits {
    GHashTable *ledgers;
    uint64_t next_number;
};

bv_credits_t *
bv_credits_create(void)
{
    bv_credits_t *credits = g_new0(bv_credits_t, 1);
    credits->ledgers =
        g_hash_table_new_full(bv_id_hash, bv_id_equal, NULL, g_free);
    return credits;
}

void
bv_credits_destroy(bv_credits_t *credits)
{
    if (credits == NULL) {
        return;
    }
    g_hash_table_destroy(credits->ledgers);
    g_free(credits);
}

static ledger_t *
find_ledger(const bv_credits_t *credits, const bv_id_t *id)
{
    return g_hash_table_lookup(credits->ledgers, id);
}

static void
check_conservation(const ledger_t *ledger, const char *state)
{
    /* The sum cannot wrap around while each part is within the grant. */
    bool is_each_within_grant = ledger->spent <= ledger->granted &&
                                ledger->available <= ledger->granted &&
                                ledger->lent <= ledger->granted &&
                                ledger->returned <= ledger->granted;
    uint64_t sum =
        ledger->spent + ledger->available + ledger->lent + ledger->returned;
    bv_invariant(is_each_within_grant && sum <= ledger->granted,
                 "credit_conserved", state);
}

void
bv_credits_open(bv_credits_t *credits, const bv_id_t *id, uint32_t amount)
{
    ledger_t *ledger = find_ledger(credits, id);
    if (ledger == NULL) {
        ledger = g_new0(ledger_t, 1);
        ledger->id = *id;
        ledger->number = ++credits->next_number;
        g_hash_table_insert(credits->ledgers, &ledger->id, ledger);
    }
    ledger->available += amount;
    ledger->granted += amount;
    ledger->holders++;
    check_conservation(ledger, "open");
}

bool
bv_credits_spend(bv_credits_t *credits, const bv_id_t *id)
{
    ledger_t *ledger = find_ledger(credits, id);
    if (ledger == NULL || ledger->available == 0) {
        return false;
    }
    ledger->available--;
    ledger->spent++;
    check_conservation(ledger, "spend");
    return true;
}

bv_loan_t
bv_credits_lend(bv_credits_t *credits, const bv_id_t *id)
{
    bv_loan_t loan = {0};
    ledger_t *ledger = find_ledger(credits, id);
    if (ledger == NULL) {
        return loan;
    }
    loan.ledger_number = ledger->number;
    loan.amount = (uint32_t)MIN((ledger->available + 1) / 2, BV_LOAN_LIMIT);
    ledger->available -= loan.amount;
    ledger->lent += loan.amount;
    check_conservation(ledger, "lend");
    return loan;
}

void
bv_credits_return(bv_credits_t *credits, const bv_id_t *id, bv_loan_t *loan,
                  uint32_t amount)
{
    bv_loan_t ended = *loan;
    *loan = (bv_loan_t){0};
    ledger_t *ledger = find_ledger(credits, id);
    if (ledger == NULL || ledger->number != ended.ledger_number) {
        return;
    }
    uint32_t returned = MIN(amount, ended.amount);
    ledger->lent -= ended.amount;
    ledger->spent += ended.amount - returned;
    ledger->available += returned;
    check_conservation(ledger, "return");
}

uint32_t
bv_credits_close(bv_credits_t *credits, const bv_id_t *id, uint32_t amount)
{
    ledger_t *ledger = find_ledger(credits, id);
    if (ledger == NULL) {
        return 0;
    }
    uint32_t returned = (uint32_t)MIN(ledger->available, amount);
    ledger->available -= returned;
    ledger->returned += returned;
    check_conservation(ledger, "close");
    if (--ledger->holders == 0) {
        g_hash_table_remove(credits->ledgers, id);
    }
    return returned;
}

bool
bv_credits_is_open(const bv_credits_t *credits, const bv_id_t *id)
{
    return g_hash_table_contains(credits->ledgers, id);
}

uint32_t
bv_credits_count(const bv_credits_t *credits)
{
    return g_hash_table_size(credits->ledgers);
}
