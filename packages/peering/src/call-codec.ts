import type {
  CallReply,
  ForwardedCall,
  CallRefusalReasonName,
  TargetLoad,
} from '@daisyferry/mesh/forwarded-call';

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
];

type EncodedLoad = number[] | null;

type EncodedReply =
  | ['answered', EncodedLoad, number, string, string[], boolean]
  | ['refused', EncodedLoad, CallRefusalReasonName, boolean, number]
  | ['unknown', EncodedLoad, string];

/**
 * The values of `isInternal`. An encoded load contains the index into this list, so that the order
 * is part of the protocol.
 */
const IS_INTERNAL_VALUES = [undefined, false, true];

export function encodeCall(call: ForwardedCall): string {
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
  ];
  return JSON.stringify(encoded);
}

/** Decodes a call encoded by `encodeCall`. Throws if it is not JSON; fields are not validated. */
export function decodeCall(text: string): ForwardedCall {
  const encoded = JSON.parse(text) as EncodedCall;
  return {
    requestId: encoded[0],
    service: encoded[1],
    targetId: encoded[2],
    callerService: encoded[3],
    route: encoded[4],
    isIdempotent: encoded[5],
    priority: encoded[6],
    remainingMs: encoded[7],
    usefulMs: encoded[8],
    method: encoded[9],
    path: encoded[10],
    fields: encoded[11],
  };
}

function roundToTenths(value: number): number {
  return Math.round(value * 10) / 10;
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

function encodeLoad(load: TargetLoad | undefined): EncodedLoad {
  if (load === undefined) return null;
  const encoded = [
    load.running,
    load.waiting,
    load.limit,
    roundToTenths(load.serviceMs),
    roundToHundredths(load.level),
    roundToHundredths(load.internalShare),
    IS_INTERNAL_VALUES.indexOf(load.isInternal),
  ];
  if (load.routeMs !== undefined) encoded.push(roundToTenths(load.routeMs));
  return encoded;
}

function decodeLoad(encoded: EncodedLoad): TargetLoad | undefined {
  if (encoded === null) return undefined;
  const [running = 0, waiting = 0, limit = 1, serviceMs = 0, level = 0, internalShare = 0] =
    encoded;
  const [, , , , , , isInternalIndex, routeMs] = encoded;
  return {
    running,
    waiting,
    limit,
    serviceMs,
    level,
    internalShare,
    isInternal: IS_INTERNAL_VALUES[isInternalIndex ?? 0],
    routeMs,
  };
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
    case 'unknown':
      return ['unknown', load, outcome.detail];
    default:
      return outcome satisfies never;
  }
}

export function encodeCallReply({ outcome, load }: CallReply): string {
  return JSON.stringify(toEncodedReply(outcome, encodeLoad(load)));
}

/**
 * Decodes a reply, as encoded by `encodeCallReply`, with the body of its frame. Throws if it is not
 * JSON; fields are not validated.
 */
export function decodeCallReply(text: string, body: Buffer): CallReply {
  const encoded = JSON.parse(text) as EncodedReply;
  const load = decodeLoad(encoded[1]);
  switch (encoded[0]) {
    case 'answered': {
      const [, , status, reasonPhrase, fields, endsWithConnection] = encoded;
      return {
        outcome: {
          kind: 'answered',
          status,
          reason: reasonPhrase,
          fields,
          body,
          endsWithConnection,
        },
        load,
      };
    }
    case 'refused': {
      const [, , refusalReason, reachedTarget, roomInMs] = encoded;
      return { outcome: { kind: 'refused', reason: refusalReason, reachedTarget, roomInMs }, load };
    }
    case 'unknown':
      return { outcome: { kind: 'unknown', detail: encoded[2] }, load };
    default:
      return encoded satisfies never;
  }
}
