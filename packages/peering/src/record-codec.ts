import type { DaemonRecord, EndedTarget, ServingTarget } from '@daisyferry/mesh/daemon-record';
import { MAX_RECORD_NUMBER } from '@daisyferry/mesh/daemon-record';
import { FieldReader } from './field-reader';
import { quote } from './quote';
import { UnreadableField } from './unreadable-field';

/** A record, or what is wrong with a value that is none. */
export type RecordReading =
  | { readonly ok: true; readonly record: DaemonRecord }
  | { readonly ok: false; readonly problem: string };

/** Maximum length of a record as text; one with many ended targets of long ids has half of it. */
const MAX_TEXT_LENGTH = 65_536;
/** Ids are sent in header fields and are a part of the store's keys, of 200 bytes at most. */
const ID_PATTERN = /^[!-~]{1,200}$/;
/** A name has no control characters, which would break lines of metrics and logs. */
const NAME_PATTERN = /^[^\p{Cc}]{1,200}$/u;
/** No target processes as many requests at the same time. */
const MAX_SLOTS = 1_000_000;
/** A daemon records fewer incarnations of its target that have ended. */
const MAX_ENDED_TARGETS = 256;
/** No target is cold for longer. */
const MAX_COLD_MS = 3_600_000;

function readTarget(value: unknown): ServingTarget {
  const fields = new FieldReader(value, 'target');
  return {
    targetId: fields.matching('targetId', ID_PATTERN),
    service: fields.matching('service', NAME_PATTERN),
    bornUnixMs: fields.has('bornUnixMs')
      ? fields.integer('bornUnixMs', Number.MAX_SAFE_INTEGER)
      : undefined,
    slots: fields.integer('slots', MAX_SLOTS),
    isServing: fields.boolean('isServing'),
    isLeaving: fields.has('isLeaving') ? fields.boolean('isLeaving') : undefined,
    coldMs: fields.limited('coldMs', MAX_COLD_MS),
  };
}

function readEndedTarget(value: unknown): EndedTarget {
  const fields = new FieldReader(value, 'endedTargets');
  const optionalInteger = (name: string) =>
    fields.has(name) ? fields.integer(name, Number.MAX_SAFE_INTEGER) : undefined;
  return {
    targetId: fields.matching('targetId', ID_PATTERN),
    bornUnixMs: optionalInteger('bornUnixMs'),
    drainingSequence: optionalInteger('drainingSequence'),
    isPresumed: fields.has('isPresumed') ? fields.boolean('isPresumed') : undefined,
  };
}

function readRecord(value: unknown): DaemonRecord {
  const fields = new FieldReader(value, 'record');
  return {
    daemonId: fields.matching('daemonId', ID_PATTERN),
    incarnation: fields.integer('incarnation', MAX_RECORD_NUMBER),
    revision: fields.integer('revision', MAX_RECORD_NUMBER),
    address: fields.address('address'),
    zone: fields.matching('zone', NAME_PATTERN),
    isLeaving: fields.boolean('isLeaving'),
    target: fields.has('target') ? readTarget(fields.value('target')) : undefined,
    endedTargets: fields.has('endedTargets')
      ? fields.list('endedTargets', MAX_ENDED_TARGETS).map(readEndedTarget)
      : undefined,
  };
}

/**
 * Reads the record of a daemon from a parsed value. The record has none of the value's further
 * fields, which may be nested too deeply to be encoded again.
 */
export function toRecord(value: unknown): RecordReading {
  try {
    return { ok: true, record: readRecord(value) };
  } catch (error) {
    if (!(error instanceof UnreadableField)) throw error;
    return { ok: false, problem: error.message };
  }
}

/** Reads the departures of a daemon's targets, as the store has them; none if they are unreadable. */
export function decodeDepartures(text: string): readonly EndedTarget[] {
  if (text.length > MAX_TEXT_LENGTH) return [];
  try {
    return new FieldReader({ endedTargets: JSON.parse(text) as unknown }, 'departures')
      .list('endedTargets', MAX_ENDED_TARGETS)
      .map(readEndedTarget);
  } catch (error) {
    if (error instanceof UnreadableField || error instanceof SyntaxError) return [];
    throw error;
  }
}

/** Reads the record that the store has of a daemon. */
export function decodeStoredRecord(text: string, daemonId: string): RecordReading {
  if (text.length > MAX_TEXT_LENGTH)
    return { ok: false, problem: `${text.length} characters, ${MAX_TEXT_LENGTH} at most` };
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { ok: false, problem: 'not JSON' };
  }
  const reading = toRecord(value);
  if (reading.ok && reading.record.daemonId !== daemonId)
    return {
      ok: false,
      problem: `daemonId: ${quote(reading.record.daemonId)}, not that of its key`,
    };
  return reading;
}
