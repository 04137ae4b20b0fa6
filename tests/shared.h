#ifndef SHARED_H
#define SHARED_H

/* Many hosts in several domains, with what the tests of the table, the
   members and the store session ask of them. */

#include "fixture.h"

#include <json-c/json.h>

extern "C"
{
#include "core_state.h"
#include "member.h"
#include "sheet.h"
#include "store.h"
#include "table.h"
}

class SharedWorld : public World
{
public:
  /* Hosts are called d0h0, d0h1, ... */
  SharedWorld (guint32 seed, int domains, int hosts) : World (seed)
  {
    for (int d = 0; d < domains; d++)
      for (int h = 0; h < hosts; h++)
        add_host (host (d, h).c_str (), ("d" + std::to_string (d)).c_str (),
                  d < 3 ? "r0" : "r1");
    invariants.push_back ([this] (World &) { check_revisions (); });
  }

  static std::string
  host (int d, int h)
  {
    return "d" + std::to_string (d) + "h" + std::to_string (h);
  }

  gint64
  edit (const std::string &at,
        const std::string &id,
        gint64 base,
        const std::string &csv)
  {
    json_object *o = json_object_new_object ();
    json_object_object_add (o, "edit_id", json_object_new_string (id.c_str ()));
    json_object_object_add (o, "base_revision", json_object_new_int64 (base));
    json_object_object_add (o, "csv", json_object_new_string (csv.c_str ()));
    std::string body = json_object_to_json_string (o);
    json_object_put (o);
    return operate (at, "table_edit", "", body);
  }

  gint64
  revision (const std::string &at)
  {
    return table_revision (core (at));
  }

  std::string
  csv (const std::string &at)
  {
    gsize n = 0;
    GBytes *b = table_csv (core (at));
    const void *data = b ? g_bytes_get_data (b, &n) : "";
    return std::string (static_cast<const char *> (data), n);
  }

  bool
  all_at (gint64 revision)
  {
    for (auto &n : nodes)
      if (n.second.core && table_revision (n.second.core) < revision)
        return false;
    return true;
  }

  bool
  in_force (const std::string &at)
  {
    guint live, force;
    return table_in_force (core (at), &live, &force);
  }

  MemberState
  state (const std::string &at, const std::string &of)
  {
    return member_find (core (at), of.c_str ())->state;
  }

  int falls = 0; /* times that a revision fell: never */

private:
  /* No host ever goes back to a lower table while it runs. */
  void
  check_revisions ()
  {
    for (auto &n : nodes)
      {
        if (!n.second.core)
          continue;
        auto &seen = last[{ n.first, n.second.incarnation }];
        gint64 is = table_revision (n.second.core);
        if (is < seen)
          falls++;
        seen = is;
      }
  }

  std::map<std::pair<std::string, gint64>, gint64> last;
};

#endif
