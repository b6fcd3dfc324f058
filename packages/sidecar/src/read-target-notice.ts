import { fieldValue } from '@daisyferry/http1/message';
import type { TargetNotice } from '@daisyferry/mesh/target-notice';

/** Names, in lower case, of the header fields in which a target states its condition. */
export interface NoticeFieldNames {
  readonly rateLimit: string;
  readonly leaving: string;
}

const RATE_PATTERN = /^\d+(\.\d+)?$/;
const IS_LEAVING = '1';

export interface ReadNotice {
  readonly notice: TargetNotice;
  /** Text of a rate that is no decimal number; the rate stated before it stays in force. */
  readonly unreadableRate: string | undefined;
}

/** Reads what an answer of the target states; `present` is what the answer before it stated. */
export function readTargetNotice(
  fields: readonly string[],
  fieldNames: NoticeFieldNames,
  present: TargetNotice | undefined,
): ReadNotice {
  const rateText = fieldValue(fields, fieldNames.rateLimit)?.trim();
  const isLeaving =
    present?.isLeaving === true || fieldValue(fields, fieldNames.leaving)?.trim() === IS_LEAVING;
  if (rateText === undefined) {
    return { notice: { ratePerS: undefined, isLeaving }, unreadableRate: undefined };
  }
  const ratePerS = RATE_PATTERN.test(rateText) ? Number(rateText) : Number.NaN;
  if (Number.isFinite(ratePerS))
    return { notice: { ratePerS, isLeaving }, unreadableRate: undefined };
  return { notice: { ratePerS: present?.ratePerS, isLeaving }, unreadableRate: rateText };
}
