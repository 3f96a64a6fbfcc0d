/* Memory, build time and lookup time of the client block table, by the number
 * of blocks. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steer/steer.h"

#define FINDS 2000000
#define DOMAINS 130

static CpCidrBlock *make_blocks(uint32_t count, bool v6);

int
main(void)
{
    static const uint32_t sizes[] = {10000, 50000, 100000, 490000};
    printf("family blocks bytes bytes_per_block build_ms find_ns\n");
    for (uint32_t family = 0; family < 2; family++) {
        for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
            uint64_t found_sum = 0, rng = 88172645463325252u;
            CpCidrBlock *b = make_blocks(sizes[i], family == 1);
            int64_t start_ns = CpClock_Now_ns();
            CpCidrMap *m = CpCidrMap_Build(b, sizes[i]);
            int64_t built_ns = CpClock_Now_ns();
            for (uint32_t k = 0; k < FINDS; k++) {
                uint8_t ip[CP_IP_BYTES] = {0};
                rng ^= rng << 13;
                rng ^= rng >> 7;
                rng ^= rng << 17;
                memcpy(ip, b[rng % sizes[i]].ip, 6);
                ip[3] |= (uint8_t)(rng >> 56);
                found_sum += CpCidrMap_Find(m, ip, family == 1);
            }
            int64_t end_ns = CpClock_Now_ns();
            /* Using found_sum keeps the finds from being optimised away. */
            printf("%s %u %llu %.1f %.1f %.0f %s\n", family ? "IPv6" : "IPv4",
                   sizes[i], (unsigned long long)CpCidrMap_Size_bytes(m),
                   (double)CpCidrMap_Size_bytes(m) / sizes[i],
                   (double)(built_ns - start_ns) / CP_NS_PER_MS,
                   (double)(end_ns - built_ns) / FINDS,
                   found_sum == 0 ? "?" : "");
            CpCidrMap_Free(m);
            free(b);
        }
    }
    return 0;
}

/* Returns blocks with mixed prefix lengths, to be freed by the caller. One in
 * eight is nested in the block before it. */
static CpCidrBlock *
make_blocks(uint32_t count, bool v6)
{
    CpCidrBlock *b = CpMem_Alloc(count * sizeof(*b));
    for (uint32_t i = 0; i < count; i++) {
        uint32_t net = v6 ? i * 8191 + 0x20000000u : i * 8191 + 0x01000000u;
        b[i] = (CpCidrBlock){.v6 = v6,
                             .prefix_bits = (uint8_t)((v6 ? 40 : 19) + i % 6),
                             .value = (uint16_t)(i % DOMAINS)};
        if (i % 8 == 7) { /* nested */
            memcpy(b[i].ip, b[i - 1].ip, CP_IP_BYTES);
            b[i].prefix_bits = v6 ? 56 : 28;
            continue;
        }
        for (uint32_t k = 0; k < 4; k++) {
            b[i].ip[k] = (uint8_t)(net >> (24 - 8 * k));
        }
        b[i].ip[4] = (uint8_t)(v6 ? i : 0);
    }
    return b;
}
