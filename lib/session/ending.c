#include "ending.h"

static gboolean
is_quiet (const SeSession *session, GmTime span)
{
  return !session->has_input && session->quiet >= span;
}

SeVerdict
se_decide (const SeTimes *times, GmTime spent, const SeSession *session)
{
  if (spent >= times->give_up)
    return session->in_flight ? SE_GIVE_UP : SE_END;
  if (session->in_flight || spent < times->close_idle)
    return SE_GO_ON;
  if (session->state != SN_NO_TRANSACTION)
    return spent >= times->end_transactions
                   && is_quiet (session, SE_TRANSACTION_PAUSE)
               ? SE_END
               : SE_GO_ON;
  if (session->has_input)
    return spent >= times->refuse ? SE_REFUSE : SE_GO_ON;
  return is_quiet (session, session->served ? SE_PAUSE : SE_FIRST_PAUSE)
             ? SE_END
             : SE_GO_ON;
}

SeNotice
se_notice (SnState state, GmKind reason)
{
  return (SeNotice){ .kind = state == SN_NO_TRANSACTION
                                 ? reason
                                 : GM_TRANSACTION_LOST };
}

SeReply
se_reply (SeNotice *notice)
{
  SeReply reply = notice->taken ? SE_WHOLE : SE_REST;
  notice->taken = TRUE;
  return reply;
}
