/**
 * Times of the exchange of quotas. A window of the promise may contain what was granted up to
 * `PART_LAPSE_MS` before it, see `docs/design/client-quotas.md`.
 */

/** Time after the question for a part in which the entry may use it. */
export const PART_LAPSE_MS = 300;
/** Time for which a new quota home hands out nothing: all parts of the earlier one have lapsed. */
export const TAKEOVER_HOLD_MS = 400;
/**
 * Time without an answer after which another daemon takes over: longer than any link takes to notice
 * that its peer does not respond, so that the earlier home no longer counts the daemons that it has
 * lost.
 */
export const SILENCE_MS = 3_200;
/** Gap between two moments of a daemon after which it no longer relies on what it held. */
export const PAUSE_MS = 2_000;
/** Time from the first configuration until a daemon knows the fleet well enough to be a home. */
export const START_HOLD_MS = 1_000;
