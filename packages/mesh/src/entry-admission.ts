import { rootHashOf } from '@daisyferry/admission/priority';

export interface AdmissionInput {
  readonly requestId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Greatest number of a priority in use. */
  readonly leastUrgent: number;
  /** Level that the homes of the service ask for, see `ShedLevel`. */
  readonly level: number;
}

/**
 * How far the level is above a request's place, in classes; 0 or less for a request that goes on.
 * The least urgent class is turned away first; within a class a hash of the request's id decides.
 */
export function shedMargin({ requestId, priority, leastUrgent, level }: AdmissionInput): number {
  if (level <= 0) return 0;
  return level - (leastUrgent - priority + rootHashOf(requestId));
}
