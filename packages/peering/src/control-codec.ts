import type { CrashReport } from '@daisyferry/mesh/crash-suspects';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import type { Attempt } from '@daisyferry/mesh/forwarded-call';
import type { ServiceShortage } from '@daisyferry/mesh/shortage-news';
import type { Hello } from './hello';
import { toRecord } from './record-codec';

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

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function readRecord(value: unknown): DaemonRecord | undefined {
  const reading = toRecord(value);
  return reading.ok ? reading.record : undefined;
}

/** Reads those of the values that are records. */
function readRecords(values: unknown): DaemonRecord[] {
  return Array.isArray(values) ? values.flatMap((value) => readRecord(value) ?? []) : [];
}

/** Decodes the record of a daemon. */
export function decodeRecord(text: string): DaemonRecord | undefined {
  return readRecord(parseJson(text));
}

/** Decodes a list of records; leaves out those that cannot be read. */
export function decodeRecords(text: string): DaemonRecord[] {
  return readRecords(parseJson(text));
}

/** Decodes the first frame of a connection. */
export function decodeHello(text: string): Hello | undefined {
  const hello = fieldsOf<Hello>(parseJson(text));
  const { processKey, configurationVersion, wantsView, isReading } = hello;
  const record = readRecord(hello.record);
  if (record === undefined) return undefined;
  return {
    record,
    processKey: typeof processKey === 'string' ? processKey : undefined,
    configurationVersion: isCount(configurationVersion) ? configurationVersion : 0,
    wantsView: wantsView === true,
    isReading: isReading === true,
    acceptsBodyParts: hello.acceptsBodyParts === true,
    answersPings: hello.answersPings === true,
  };
}

/** Decodes the version of a peer's configuration. */
export function decodeConfigurationVersion(text: string): number | undefined {
  const { version } = fieldsOf<{ version: number }>(parseJson(text));
  return isCount(version) ? version : undefined;
}

/** Id of the daemon that a record or a report is about; undefined if none is named. */
export function decodeSubjectId(text: string): string | undefined {
  const { daemonId } = fieldsOf<{ daemonId: string }>(parseJson(text));
  return typeof daemonId === 'string' ? daemonId : undefined;
}

const MAX_LEVEL = 1_000;

export interface ReportedLevel {
  readonly daemonId: string;
  readonly level: number;
}

/** Decodes the shed level of a home. */
export function decodeLevel(text: string): ReportedLevel | undefined {
  const { daemonId, level } = fieldsOf<ReportedLevel>(parseJson(text));
  if (typeof daemonId !== 'string' || !isNumber(level)) return undefined;
  return { daemonId, level: Math.min(MAX_LEVEL, Math.max(0, level)) };
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
    records: readRecords(records),
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

/** Maximum number of reports of one frame that are read. */
const MAX_CRASH_REPORTS = 1_024;

/** Decodes reports on requests; leaves out those that cannot be read. */
export function decodeCrashReports(text: string): CrashReport[] {
  const value = parseJson(text);
  if (!Array.isArray(value)) return [];
  return value.slice(0, MAX_CRASH_REPORTS).flatMap((item: unknown) => {
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
