/** Cost of a call that a target turns away, relative to the value of a request. */
const NESTED_REFUSAL_COST = 1;
const DIRECT_REFUSAL_COST = 0.5;
/** Occupancy, as a share of the limit, from which on and up to which a target counts as full. */
const MIN_FULL_OCCUPANCY = 1;
const FULL_OCCUPANCY = 1.5;

export interface CallWeight {
  /** True if a target makes the call while it runs a request, which fails without the call. */
  readonly isNested: boolean;
  /** Time for which the call occupies a slot, relative to the mean call of the service. */
  readonly relativeSlotTime: number;
}

/**
 * Cost of sending a call to a target that turns away the given share of its calls although it has
 * room. Load that it answers: most targets of a service turn calls away, and the few good ones have
 * room for the calls that lose most. A nested call wastes the work of its request and those that
 * follow it; a call that takes long uses the room in which many short ones succeed.
 */
export function refusalCost(refusedShare: number, call: CallWeight): number {
  const cost = call.isNested ? NESTED_REFUSAL_COST : DIRECT_REFUSAL_COST;
  return (cost * refusedShare) / Math.max(1, call.relativeSlotTime);
}

/** How full a target is by its limit, 0 to 1: from 1 on, a call is as good as turned away there. */
export function fullness(occupiedSlots: number, limit: number): number {
  const occupancy = occupiedSlots / limit;
  const excess = (occupancy - MIN_FULL_OCCUPANCY) / (FULL_OCCUPANCY - MIN_FULL_OCCUPANCY);
  return Math.min(1, Math.max(0, excess));
}
