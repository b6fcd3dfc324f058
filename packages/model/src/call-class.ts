/**
 * Criticality classes of calls, most critical first. The number is the rank: a lower rank is shed
 * later. Calls that move money are always `money` and are shed last.
 */
export const CallClass = {
  money: 0,
  interactive: 1,
  deferrable: 2,
  background: 3,
} as const;

export type CallClassName = keyof typeof CallClass;
export type CallClassRank = (typeof CallClass)[CallClassName];

/** Number of classes; ranks run from 0 to `CALL_CLASS_COUNT - 1`. */
export const CALL_CLASS_COUNT = 4;

export const CALL_CLASS_NAMES: readonly CallClassName[] = [
  'money',
  'interactive',
  'deferrable',
  'background',
];

/** Returns the name of a rank, or undefined for an unknown rank. */
export function callClassName(rank: number): CallClassName | undefined {
  return CALL_CLASS_NAMES[rank];
}

/** Returns the rank of a name, or undefined for an unknown name. */
export function callClassRank(name: string): CallClassRank | undefined {
  return Object.hasOwn(CallClass, name) ? CallClass[name as CallClassName] : undefined;
}

/** Returns the more critical of two ranks; a nested call inherits at least its root's class. */
export function moreCritical(left: CallClassRank, right: CallClassRank): CallClassRank {
  return left < right ? left : right;
}
