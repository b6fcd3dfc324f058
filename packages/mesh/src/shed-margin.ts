import { requestRank } from './request-rank';

export interface ShedMarginInput {
  readonly requestId: string;
  /** Number of priority classes in use that are less urgent. */
  readonly classesBelow: number;
  /** Mean level that the homes of the service report, see `ShedLevel`. */
  readonly level: number;
}

/**
 * Returns by how many classes the shed level exceeds the request's rank; a request is shed if the
 * margin is positive. The least urgent class is shed first; within a class a hash of the request id
 * decides.
 */
export function shedMargin({ requestId, classesBelow, level }: ShedMarginInput): number {
  if (level <= 0) return 0;
  return level - (classesBelow + requestRank(requestId));
}
