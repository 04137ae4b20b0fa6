#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "fit.h"
}

/* The choice of workers by best fit. */

/* Returns a new worker of POOL with the given free accelerators. */
static FitWorker
add_worker (Pool *pool,
            const char *id,
            const char *service,
            const char *rack,
            gint64 accelerators)
{
  PoolEntry *entry = pool_entry_new (id);

  entry->service = g_strdup (service);
  entry->address = g_strdup ("10.0.0.1:1");
  entry->domain = g_strdup ("z");
  entry->rack = g_strdup (rack);
  entry->capacity = { 64000, 256000, accelerators };
  FitWorker f = {};
  f.worker = pool_update (pool, entry);
  f.room = entry->capacity;
  return f;
}

TEST (QueueFit, AcceleratorsOfAnotherServiceHideTheFullestRack)
{
  Pool pool;
  FitRequest rq = {};
  PoolWorker *chosen[2] = {};

  pool_init (&pool);
  std::vector<FitWorker> workers = {
    add_worker (&pool, "a0", "render", "a", 4),
    add_worker (&pool, "a1", "lab", "a", 8),
    add_worker (&pool, "b0", "render", "b", 8),
  };
  rq.service = "render";
  rq.need = { 1000, 1000, 1 };
  rq.count = 2;
  rq.label = rq.data_rack = "";
  rq.same_rack = TRUE;
  ASSERT_TRUE (fit_place (&rq, workers.data (), 3, chosen));
  EXPECT_STREQ (chosen[0]->entry->id, "a0");
  EXPECT_STREQ (chosen[1]->entry->id, "a0");
  pool_clear (&pool);
}
