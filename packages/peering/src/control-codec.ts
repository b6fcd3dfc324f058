import type { CrashReport } from '@daisyferry/mesh/crash-suspects';
import type { DaemonRecord, EndedTarget, ServingTarget } from '@daisyferry/mesh/daemon-record';
import type { Attempt } from '@daisyferry/mesh/forwarded-call';
import type { ServiceShortage } from '@daisyferry/mesh/shortage-news';
import type { Hello } from './hello';

// Heads of control frames are JSON. A peer of another build may send more or other fields: unknown
// ones are ignored, and a head without the fields that are needed decodes to undefined.

/** An object of which no field has been checked. */
type Unchecked<Shape> = { readonly [Name in keyof Shape]?: unknown };

/** Parses JSON; returns undefined for text that is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Returns the fields of an object; a value of another type has none. */
function fieldsOf<Shape>(value: unknown): Unchecked<Shape> {
  return typeof value === 'object' && value !== null ? value : {};
}

function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

function isServingTarget(value: unknown): value is ServingTarget {
  const { targetId, service, bornUnixMs, slots, isServing, isLeaving, coldMs } =
    fieldsOf<ServingTarget>(value);
  const hasTexts = typeof targetId === 'string' && typeof service === 'string';
  if (bornUnixMs !== undefined && !isNumber(bornUnixMs)) return false;
  if (isLeaving !== undefined && typeof isLeaving !== 'boolean') return false;
  return hasTexts && isNumber(slots) && typeof isServing === 'boolean' && isNumber(coldMs);
}

function isEndedTarget(value: unknown): value is EndedTarget {
  const { targetId, bornUnixMs, drainingSequence } = fieldsOf<EndedTarget>(value);
  const hasNumbers = [bornUnixMs, drainingSequence].every(
    (field) => field === undefined || isNumber(field),
  );
  return typeof targetId === 'string' && hasNumbers;
}

function isDaemonRecord(value: unknown): value is DaemonRecord {
  const record = fieldsOf<DaemonRecord>(value);
  const { target, endedTargets } = record;
  const hasEndedTargets =
    endedTargets === undefined ||
    (Array.isArray(endedTargets) && endedTargets.every(isEndedTarget));
  return (
    hasEndedTargets &&
    typeof record.daemonId === 'string' &&
    isNumber(record.incarnation) &&
    isNumber(record.revision) &&
    typeof record.address === 'string' &&
    typeof record.zone === 'string' &&
    typeof record.isLeaving === 'boolean' &&
    (target === undefined || target === null || isServingTarget(target))
  );
}

/** Decodes the record of a daemon. */
export function decodeRecord(text: string): DaemonRecord | undefined {
  const value = parseJson(text);
  return isDaemonRecord(value) ? value : undefined;
}

/** Decodes a list of records; leaves out those that cannot be read. */
export function decodeRecords(text: string): DaemonRecord[] {
  const value = parseJson(text);
  return Array.isArray(value) ? value.filter(isDaemonRecord) : [];
}

/** Decodes the first frame of a connection. */
export function decodeHello(text: string): Hello | undefined {
  const hello = fieldsOf<Hello>(parseJson(text));
  const { record, processKey, configurationVersion, wantsView, isReading } = hello;
  if (!isDaemonRecord(record)) return undefined;
  return {
    record,
    processKey: typeof processKey === 'string' ? processKey : undefined,
    configurationVersion: isNumber(configurationVersion) ? configurationVersion : 0,
    wantsView: wantsView === true,
    isReading: isReading === true,
    acceptsBodyParts: hello.acceptsBodyParts === true,
    answersPings: hello.answersPings === true,
  };
}

/** Decodes the version of a peer's configuration. */
export function decodeConfigurationVersion(text: string): number | undefined {
  const { version } = fieldsOf<{ version: number }>(parseJson(text));
  return isNumber(version) ? version : undefined;
}

export interface ReportedLevel {
  readonly daemonId: string;
  readonly level: number;
}

/** Decodes the shed level of a home. */
export function decodeLevel(text: string): ReportedLevel | undefined {
  const { daemonId, level } = fieldsOf<ReportedLevel>(parseJson(text));
  return typeof daemonId === 'string' && isNumber(level) ? { daemonId, level } : undefined;
}

/** Encodes how short a service is, to hundredths. */
export function encodeShortage({ service, refusedShare, retryPace }: ServiceShortage): string {
  const round = (share: number) => Math.round(share * 100) / 100;
  return JSON.stringify({
    service,
    refusedShare: round(refusedShare),
    retryPace: round(retryPace),
  });
}

/** Decodes how short a service is; limits the shares to their range. */
export function decodeShortage(text: string): ServiceShortage | undefined {
  const { service, refusedShare, retryPace } = fieldsOf<ServiceShortage>(parseJson(text));
  if (typeof service !== 'string' || !isNumber(refusedShare) || !isNumber(retryPace)) {
    return undefined;
  }
  const toShare = (value: number) => Math.min(1, Math.max(0, value));
  return { service, refusedShare: toShare(refusedShare), retryPace: toShare(retryPace) };
}

/** Records that were written to the store, and ids of those removed from it. */
export interface RecordChanges {
  readonly records: readonly DaemonRecord[];
  readonly removedIds: readonly string[];
}

/** Decodes a change of the stored records; leaves out what cannot be read. */
export function decodeRecordChanges(text: string): RecordChanges {
  const { records, removedIds } = fieldsOf<RecordChanges>(parseJson(text));
  return {
    records: Array.isArray(records) ? records.filter(isDaemonRecord) : [],
    removedIds: Array.isArray(removedIds)
      ? removedIds.filter((id): id is string => typeof id === 'string')
      : [],
  };
}

export interface ReportedReading {
  readonly daemonId: string;
  readonly isReading: boolean;
}

/** Decodes whether a peer follows the store. */
export function decodeReading(text: string): ReportedReading | undefined {
  const { daemonId, isReading } = fieldsOf<ReportedReading>(parseJson(text));
  return typeof daemonId === 'string' && typeof isReading === 'boolean'
    ? { daemonId, isReading }
    : undefined;
}

/** Encodes reports on requests that were running when targets crashed. */
export function encodeCrashReports(reports: readonly CrashReport[]): string {
  return JSON.stringify(
    reports.map(({ fingerprint, clearances, crashes, ageMs }) => [
      fingerprint,
      clearances,
      crashes,
      Math.round(ageMs),
    ]),
  );
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Decodes reports on requests; leaves out those that cannot be read. */
export function decodeCrashReports(text: string): CrashReport[] {
  const value = parseJson(text);
  if (!Array.isArray(value)) return [];
  return value.flatMap((item: unknown) => {
    const [fingerprint, clearances, crashes, ageMs]: readonly unknown[] = Array.isArray(item)
      ? item
      : [];
    const isReadable =
      typeof fingerprint === 'string' && isCount(clearances) && isCount(crashes) && isCount(ageMs);
    return isReadable ? { fingerprint, clearances, crashes, ageMs } : [];
  });
}

/** Encodes the attempt whose outcome an entry queries. */
export function encodeResolve({ requestId, attemptKey }: Attempt): string {
  return JSON.stringify([requestId, attemptKey]);
}

/** Decodes the attempt whose outcome an entry queries. */
export function decodeResolve(text: string): Attempt | undefined {
  const value = parseJson(text);
  const [requestId, attemptKey]: readonly unknown[] = Array.isArray(value) ? value : [];
  if (typeof requestId !== 'string') return undefined;
  return { requestId, attemptKey: typeof attemptKey === 'string' ? attemptKey : undefined };
}
