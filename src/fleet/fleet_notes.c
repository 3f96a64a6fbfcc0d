/*
 * Notes of servers that have to outlast their entries: that a server leaves,
 * and until when it wants no requests. An entry may lapse and return, and a
 * copy of the table may lag behind what the server said; a note holds until
 * another incarnation of the server is started.
 */
#include <stdlib.h>

#include "fleet/fleet_int.h"

#define MAX_NOTES 16384
#define NOTE_TTL_NS (600 * CP_NS_PER_S) /* servers have ended long before */

static void remove_expired(CpFleet *f, int64_t now_ns);
static gboolean is_expired(gpointer key, gpointer value, gpointer ctx);

void
CpFleet_RecordNote(CpFleet *f, const CpFleetServer *server, int64_t now_ns)
{
    pthread_mutex_lock(&f->notes_lock);
    CpFleetNote *note = g_hash_table_lookup(f->notes, &server->hash);
    if (note == NULL) {
        remove_expired(f, now_ns);
        note = CpMem_Alloc(sizeof(*note));
        note->server_hash = server->hash;
        g_hash_table_insert(f->notes, &note->server_hash, note);
    }
    note->started_ms = server->entry.started_ms;
    note->leaving = server->leaving || server->entry.draining;
    note->paused_until_ns = server->paused_until_ns;
    note->recorded_ns = now_ns;
    pthread_mutex_unlock(&f->notes_lock);
}

void
CpFleet_ApplyNote(CpFleet *f, CpFleetServer *server, int64_t now_ns)
{
    pthread_mutex_lock(&f->notes_lock);
    const CpFleetNote *note = g_hash_table_lookup(f->notes, &server->hash);
    if (note != NULL && now_ns - note->recorded_ns < NOTE_TTL_NS &&
        server->entry.started_ms <= note->started_ms) {
        server->leaving = note->leaving;
        if (server->paused_until_ns < note->paused_until_ns) {
            server->paused_until_ns = note->paused_until_ns;
        }
    }
    pthread_mutex_unlock(&f->notes_lock);
}

static void
remove_expired(CpFleet *f, int64_t now_ns)
{
    if (g_hash_table_size(f->notes) >= MAX_NOTES) {
        g_hash_table_foreach_remove(f->notes, is_expired, &now_ns);
    }
    if (g_hash_table_size(f->notes) >= MAX_NOTES) {
        CpLog(CP_LOG_WARNING, "fleet: more than %d notes of servers",
              MAX_NOTES);
        g_hash_table_remove_all(f->notes);
    }
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer ctx)
{
    const CpFleetNote *note = value;
    const int64_t *now_ns = ctx;
    (void)key;
    return *now_ns - note->recorded_ns > NOTE_TTL_NS;
}
