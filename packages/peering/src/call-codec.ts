import {
  CallRefusalReason,
  type CallNeed,
  type CallReply,
  type ForwardedCall,
  type CallRefusalReasonName,
  type TargetLoad,
} from '@daisyferry/mesh/forwarded-call';
import { boundedLoad } from '@daisyferry/mesh/bounded-load';
import type { CrashEvidence } from '@daisyferry/mesh/crash-suspects';
import type { TargetNotice } from '@daisyferry/mesh/target-notice';
import { parseJson } from './control-codec';
import { HeaderTexts } from './header-texts';

// Calls and replies are encoded as JSON arrays: as objects, field names would be a third of their
// bytes.

type EncodedCall = [
  requestId: string,
  service: string,
  targetId: string,
  callerService: string,
  route: string,
  isIdempotent: boolean,
  priority: number,
  remainingMs: number,
  usefulMs: number,
  method: string,
  path: string,
  fields: string[],
  bodyBytes?: number,
  attemptKey?: string,
  targetRatePerS?: number,
  clearances?: number,
  crashes?: number,
  account?: string,
  repeatShare?: number,
];

type EncodedLoad = number[] | null;

type EncodedReply =
  | ['answered', EncodedLoad, number, string, string[], boolean, number?]
  | ['refused', EncodedLoad, CallRefusalReasonName, boolean, number]
  | ['unknown', EncodedLoad, string, number?, number?];

/**
 * The values of `isInternal`. An encoded load contains the index into this list, so that the order
 * is part of the protocol.
 */
const IS_INTERNAL_VALUES = [undefined, false, true];

/** Stands for a target without a rate limit. */
const NO_RATE = -1;

/** Stands for a missing attempt key before further items. */
const NO_ATTEMPT_KEY = '';

/** Stands for a missing account before further items; operators name no account so. */
const NO_ACCOUNT = '';

function roundToTenths(value: number): number {
  return Math.round(value * 10) / 10;
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

/** `bodyBytes` is the length of a body that follows in parts; 0 if it is in the frame itself. */
export function encodeCall(call: ForwardedCall, bodyBytes = 0): string {
  const encoded: EncodedCall = [
    call.requestId,
    call.service,
    call.targetId,
    call.callerService,
    call.route,
    call.isIdempotent,
    call.priority,
    Math.round(call.remainingMs),
    Math.round(call.usefulMs),
    call.method,
    call.path,
    call.fields as string[],
    bodyBytes,
  ];
  const { attemptKey, targetRatePerS, evidence, account, repeatShare } = call;
  const isOfAccount = account !== undefined || repeatShare !== undefined;
  const isSuspected = evidence !== undefined || isOfAccount;
  if (attemptKey !== undefined) encoded.push(attemptKey);
  if (targetRatePerS === undefined && !isSuspected) return JSON.stringify(encoded);
  // Positions of items that are missing before further ones are filled.
  if (attemptKey === undefined) encoded.push(NO_ATTEMPT_KEY);
  encoded.push(targetRatePerS ?? NO_RATE);
  if (isSuspected) encoded.push(evidence?.clearances ?? 0, evidence?.crashes ?? 0);
  if (isOfAccount) encoded.push(account ?? NO_ACCOUNT, roundToHundredths(repeatShare ?? 0));
  return JSON.stringify(encoded);
}

function isStringList(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}

function isLength(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Types of the items of an encoded call before its header fields. */
const CALL_ITEM_TYPES = [
  ...['string', 'string', 'string', 'string', 'string'],
  ...['boolean', 'number', 'number', 'number', 'string', 'string'],
];

/** Positions of the items that earlier builds leave out. */
const BODY_BYTES_INDEX = 12;
const ATTEMPT_KEY_INDEX = 13;
const TARGET_RATE_INDEX = 14;
const CLEARANCES_INDEX = 15;
const CRASHES_INDEX = 16;
const ACCOUNT_INDEX = 17;
const REPEAT_SHARE_INDEX = 18;

/** Longest time that a caller is kept waiting. */
const MAX_CALL_MS = 3_600_000;
const MAX_RATE_PER_S = 1e9;
const MAX_PRIORITY = 1e9;

/** True if a request with the texts of the call has the parts that its target is to read. */
function canBeSent(call: ForwardedCall, texts: HeaderTexts): boolean {
  const { requestId, attemptKey, targetId, callerService, account } = call;
  return (
    texts.isRequestLine(call.method, call.path) &&
    texts.areLineTexts([requestId, attemptKey, targetId, callerService, account]) &&
    texts.areFields(call.fields)
  );
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

function isEncodedCall(value: unknown): value is EncodedCall {
  if (!Array.isArray(value)) return false;
  const items: readonly unknown[] = value;
  return (
    CALL_ITEM_TYPES.every((type, index) => typeof items[index] === type) &&
    isStringList(items[CALL_ITEM_TYPES.length]) &&
    (items[BODY_BYTES_INDEX] === undefined || isLength(items[BODY_BYTES_INDEX])) &&
    ['undefined', 'string'].includes(typeof items[ATTEMPT_KEY_INDEX]) &&
    items.slice(TARGET_RATE_INDEX, ACCOUNT_INDEX).every((item) => typeof item === 'number') &&
    ['undefined', 'string'].includes(typeof items[ACCOUNT_INDEX]) &&
    ['undefined', 'number'].includes(typeof items[REPEAT_SHARE_INDEX])
  );
}

function toRate(encoded: number | undefined): number | undefined {
  return encoded === undefined || encoded < 0 ? undefined : Math.min(MAX_RATE_PER_S, encoded);
}

/** Evidence of a request that is not suspected only fills the positions before its account. */
function isNoEvidence({ clearances, crashes }: CrashEvidence): boolean {
  return clearances === 0 && crashes === 0;
}

function toEvidence(clearances: unknown, crashes: unknown): CrashEvidence | undefined {
  if (!isLength(clearances) || !isLength(crashes)) return undefined;
  const evidence = { clearances, crashes };
  return isNoEvidence(evidence) ? undefined : evidence;
}

/** A share from another process, limited to 0 to 1; undefined for none. */
function toShare(encoded: number | undefined): number | undefined {
  return encoded === undefined || encoded <= 0 ? undefined : Math.min(1, encoded);
}

function toCall(encoded: EncodedCall): ForwardedCall {
  return {
    requestId: encoded[0],
    attemptKey:
      encoded[ATTEMPT_KEY_INDEX] === NO_ATTEMPT_KEY ? undefined : encoded[ATTEMPT_KEY_INDEX],
    service: encoded[1],
    targetId: encoded[2],
    callerService: encoded[3],
    route: encoded[4],
    isIdempotent: encoded[5],
    priority: clamp(encoded[6], 0, MAX_PRIORITY),
    remainingMs: clamp(encoded[7], -MAX_CALL_MS, MAX_CALL_MS),
    usefulMs: clamp(encoded[8], -MAX_CALL_MS, MAX_CALL_MS),
    method: encoded[9],
    path: encoded[10],
    fields: encoded[11],
    targetRatePerS: toRate(encoded[TARGET_RATE_INDEX]),
    evidence: toEvidence(encoded[CLEARANCES_INDEX], encoded[CRASHES_INDEX]),
    account: encoded[ACCOUNT_INDEX] === NO_ACCOUNT ? undefined : encoded[ACCOUNT_INDEX],
    repeatShare: toShare(encoded[REPEAT_SHARE_INDEX]),
  };
}

export interface DecodedCall {
  readonly call: ForwardedCall;
  /** Length of the body that follows in parts; 0 if it is in the frame itself. */
  readonly bodyBytes: number;
}

/** Decodes a call encoded by `encodeCall`; returns undefined if it cannot be read. */
export function decodeCall(text: string): DecodedCall | undefined {
  const encoded = parseJson(text);
  if (!isEncodedCall(encoded)) return undefined;
  const call = toCall(encoded);
  if (!canBeSent(call, new HeaderTexts(text))) return undefined;
  return { call, bodyBytes: encoded[BODY_BYTES_INDEX] ?? 0 };
}

/** Share of refused calls below which none is reported, to save bytes. */
const MIN_REPORTED_SHARE = 0.005;
/** Stands for a notice that is not known, where further items follow. */
const NO_NOTICE = -1;

function encodeLeaving(notice: TargetNotice | undefined): number {
  if (notice === undefined) return NO_NOTICE;
  return notice.isLeaving ? 1 : 0;
}

function encodeLoad(load: TargetLoad | undefined): EncodedLoad {
  if (load === undefined) return null;
  const encoded = [
    load.running,
    load.waiting,
    roundToHundredths(load.limit),
    roundToTenths(load.serviceMs),
    roundToHundredths(load.level),
    roundToHundredths(load.internalShare),
    IS_INTERNAL_VALUES.indexOf(load.isInternal),
  ];
  const { routeMs, notice, refusedShare = 0 } = load;
  if (routeMs !== undefined) encoded.push(roundToTenths(routeMs));
  const isRefusing = refusedShare >= MIN_REPORTED_SHARE;
  if (notice === undefined && !isRefusing) return encoded;
  // A home that knows no time of the route repeats the mean of all routes, to keep the positions.
  if (routeMs === undefined) encoded.push(roundToTenths(load.serviceMs));
  encoded.push(notice?.ratePerS ?? NO_RATE, encodeLeaving(notice));
  if (isRefusing) encoded.push(roundToHundredths(refusedShare));
  return encoded;
}

/** Both items are undefined if the home does not know what its target states. */
function decodeNotice(
  ratePerS: number | undefined,
  isLeaving: number | undefined,
): TargetNotice | undefined {
  if (ratePerS === undefined || isLeaving === NO_NOTICE) return undefined;
  return { ratePerS: toRate(ratePerS), isLeaving: isLeaving === 1 };
}

function decodeLoad(encoded: unknown): TargetLoad | undefined {
  if (!Array.isArray(encoded) || !encoded.every((item) => typeof item === 'number')) {
    return undefined;
  }
  const [running = 0, waiting = 0, limit = 1, serviceMs = 0, level = 0, internalShare = 0] =
    encoded;
  const [, , , , , , isInternalIndex, routeMs, ratePerS, isLeaving, refusedShare] = encoded;
  return boundedLoad({
    running,
    waiting,
    limit,
    serviceMs,
    level,
    internalShare,
    isInternal: IS_INTERNAL_VALUES[isInternalIndex ?? 0],
    routeMs,
    notice: decodeNotice(ratePerS, isLeaving),
    refusedShare: toShare(refusedShare),
  });
}

function toEncodedReply(outcome: CallReply['outcome'], load: EncodedLoad): EncodedReply {
  switch (outcome.kind) {
    case 'answered':
      return [
        'answered',
        load,
        outcome.status,
        outcome.reason,
        outcome.fields as string[],
        outcome.endsWithConnection,
      ];
    case 'refused':
      return ['refused', load, outcome.reason, outcome.reachedTarget, outcome.roomInMs];
    case 'unknown': {
      const { detail, evidence } = outcome;
      if (evidence === undefined) return ['unknown', load, detail];
      return ['unknown', load, detail, evidence.clearances, evidence.crashes];
    }
    default:
      return outcome satisfies never;
  }
}

function encodeNeed({ service, calls, refusedShare = 0, retryPace = 1 }: CallNeed): unknown[] {
  const encoded = [service, roundToTenths(calls)];
  const isPaced = 1 - retryPace >= MIN_REPORTED_SHARE;
  if (refusedShare >= MIN_REPORTED_SHARE || isPaced) encoded.push(roundToHundredths(refusedShare));
  if (isPaced) encoded.push(roundToHundredths(retryPace));
  return encoded;
}

/** `bodyBytes` is the length of a body that follows in parts; 0 if it is in the frame itself. */
export function encodeCallReply({ outcome, load, needs }: CallReply, bodyBytes = 0): string {
  const encoded: unknown[] = toEncodedReply(outcome, encodeLoad(load));
  const hasNeeds = needs !== undefined && outcome.kind === 'answered';
  if (bodyBytes > 0 || hasNeeds) encoded.push(bodyBytes);
  if (hasNeeds) encoded.push(needs.map(encodeNeed));
  return JSON.stringify(encoded);
}

/** Maximum number of services of one reply that are read. */
const MAX_NEEDS = 32;
const MAX_NEEDED_CALLS = 1e6;

/** Decodes what a route needs of other services; leaves out what cannot be read. */
function decodeNeeds(value: unknown): readonly CallNeed[] | undefined {
  if (!Array.isArray(value)) return undefined;
  return value.slice(0, MAX_NEEDS).flatMap((item: unknown) => {
    const [service, calls, share, pace] = Array.isArray(item) ? (item as unknown[]) : [];
    if (typeof service !== 'string' || typeof calls !== 'number' || calls < 0) return [];
    const need: CallNeed = { service, calls: Math.min(MAX_NEEDED_CALLS, calls) };
    const refusedShare = typeof share === 'number' ? toShare(share) : undefined;
    const retryPace = typeof pace === 'number' ? (toShare(pace) ?? 0) : undefined;
    return [
      {
        ...need,
        ...(refusedShare === undefined ? {} : { refusedShare }),
        ...(retryPace === undefined ? {} : { retryPace }),
      },
    ];
  });
}

/** Latest moment at which room is foreseen. */
const MAX_ROOM_MS = 600_000;
const MAX_DETAIL_LENGTH = 500;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 999;
const REFUSAL_REASONS: ReadonlySet<unknown> = new Set(Object.values(CallRefusalReason));

function isFinalStatus(value: unknown): value is number {
  return isLength(value) && value >= MIN_FINAL_STATUS && value <= MAX_STATUS;
}

/** A reason of a later build may not mean that the call was not run. */
function isRefusalReason(value: unknown): value is CallRefusalReasonName {
  return REFUSAL_REASONS.has(value);
}

function decodeOutcome(
  text: string,
  items: readonly unknown[],
  body: Buffer,
): CallReply['outcome'] | undefined {
  const [kind, , first, second, third, fourth] = items;
  if (kind === 'answered') {
    const isReadable = isFinalStatus(first) && typeof second === 'string' && isStringList(third);
    const texts = new HeaderTexts(text);
    if (!isReadable || !texts.areLineTexts([second]) || !texts.areFields(third)) return undefined;
    const [status, reason, fields] = [first, second, third];
    return { kind, status, reason, fields, body, endsWithConnection: fourth === true };
  }
  if (kind === 'refused' && isRefusalReason(first) && typeof second === 'boolean') {
    const roomInMs = typeof third === 'number' ? clamp(third, 0, MAX_ROOM_MS) : 0;
    return { kind, reason: first, reachedTarget: second, roomInMs };
  }
  if (kind === 'unknown') {
    const detail = typeof first === 'string' ? first.slice(0, MAX_DETAIL_LENGTH) : '';
    return { kind, detail, evidence: toEvidence(second, third) };
  }
  return undefined;
}

export interface DecodedReply {
  /** Length of the body that follows in parts; 0 if it is in the frame itself. */
  readonly bodyBytes: number;
  /** Builds the reply with its body. */
  readonly withBody: (body: Buffer) => CallReply;
}

/** Position of `bodyBytes` in an encoded reply. */
const REPLY_BODY_BYTES_INDEX = 6;
/** Position of the needs of the call's route in an encoded reply. */
const REPLY_NEEDS_INDEX = 7;

/**
 * Decodes a reply, as encoded by `encodeCallReply`. The outcome of a reply that cannot be read is
 * unknown, as the call may have been executed.
 */
export function decodeCallReply(text: string): DecodedReply {
  const value = parseJson(text);
  const items: readonly unknown[] = Array.isArray(value) ? value : [];
  const load = decodeLoad(items[1]);
  const unreadable = { kind: 'unknown', detail: 'unreadable reply of the home daemon' } as const;
  const announced = items[0] === 'answered' ? items[REPLY_BODY_BYTES_INDEX] : undefined;
  const bodyBytes = announced === undefined ? 0 : announced;
  const needs = items[0] === 'answered' ? decodeNeeds(items[REPLY_NEEDS_INDEX]) : undefined;
  // A body without a proper length would be taken for an empty one.
  if (!isLength(bodyBytes)) {
    return { bodyBytes: 0, withBody: () => ({ outcome: unreadable, load }) };
  }
  return {
    bodyBytes,
    withBody: (body) => ({ outcome: decodeOutcome(text, items, body) ?? unreadable, load, needs }),
  };
}
