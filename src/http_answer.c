#include "http_state.h"

#include "mhd.h"

#include <string.h>

enum
{
  REFUSAL_RETRY_MS = 1000
};

const char http_json_type[] = "application/json";
const char http_no_room[] = "too many bodies are being received";

/* The body of every answer that is no plain success. */
#define HTTP_ERROR_FIELDS(INT, STR, BYTES, LIST)                               \
  STR (outcome, 0, 16)                                                         \
  STR (reason, 0, CALLER_MAX_REASON)                                           \
  STR (id, 0, CALLER_MAX_ID)
REC_DECLARE (HttpError, http_error, HTTP_ERROR_FIELDS)
REC_DEFINE (HttpError, http_error, HTTP_ERROR_FIELDS)

/* Makes ANSWER, of content type TYPE, the answer to CALL, which owns it. */
void
http_set_answer (HttpCall *call,
                 guint status,
                 const char *type,
                 struct MHD_Response *answer)
{
  MHD_add_response_header (answer, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  call->answer = answer;
  call->status = status;
}

/* Returns a response with the body TEXT, which it frees. */
struct MHD_Response *
http_response_from_text (char *text)
{
  return MHD_create_response_from_buffer_with_free_callback (strlen (text),
                                                             text, g_free);
}

static void
unref_bytes (void *bytes)
{
  g_bytes_unref (bytes);
}

/* Returns a response with the body BYTES; NULL is an empty one. */
struct MHD_Response *
http_response_from_bytes (GBytes *bytes)
{
  gsize n;
  gconstpointer data;

  if (!bytes)
    return MHD_create_response_from_buffer (0, (void *)"",
                                            MHD_RESPMEM_PERSISTENT);
  data = g_bytes_get_data (bytes, &n);
  return MHD_create_response_from_buffer_with_free_callback_cls (
      n, (void *)data, unref_bytes, g_bytes_ref (bytes));
}

/* Answers CALL with an HttpError as JSON, and with Retry-After in whole
   seconds if RETRY_AFTER_MS is positive. */
void
http_set_error (HttpCall *call,
                guint status,
                Outcome outcome,
                const char *reason,
                const char *id,
                gint64 retry_after_ms)
{
  HttpError error = { .outcome = outcome_name (outcome),
                      .reason = reason,
                      .id = id };
  struct MHD_Response *answer =
      http_response_from_text (rec_to_json (http_error_desc (), &error));
  char seconds[24];

  if (retry_after_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                  (retry_after_ms + 999) / 1000);
      MHD_add_response_header (answer, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
    }
  http_set_answer (call, status, http_json_type, answer);
}

/* Refuses CALL, whose body has not come to its end, for want of room. */
void
http_refuse_early (HttpCall *call)
{
  HttpError error = { .outcome = outcome_name (OUTCOME_NOT_RUN),
                      .reason = http_no_room };
  char *text = rec_to_json (http_error_desc (), &error);

  io_count (call->listener->http->io, SHELL_HTTP_REFUSED, 1);
  mhd_write_answer (call->conn->fd, STATUS_UNAVAILABLE, text,
                    REFUSAL_RETRY_MS / 1000);
  g_free (text);
}

/* Refuses what has not reached the core. */
void
http_refuse (HttpCall *call, guint status, const char *reason)
{
  io_count (call->listener->http->io, SHELL_HTTP_REFUSED, 1);
  http_set_error (call, status, OUTCOME_NOT_RUN, reason, "",
                  status == STATUS_UNAVAILABLE ? REFUSAL_RETRY_MS : 0);
}
