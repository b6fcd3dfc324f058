import type {
  CallReply,
  ForwardedCall,
  CallRefusalReasonName,
  TargetLoad,
} from '@daisyferry/mesh/forwarded-call';

// Heads are JSON arrays: each holds one call, and field names would be a third of its bytes.

type CallHead = [
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

type LoadHead = number[] | null;

type ReplyHead =
  | ['answered', LoadHead, number, string, string[], boolean]
  | ['refused', LoadHead, CallRefusalReasonName, boolean, number]
  | ['unknown', LoadHead, string];

/** Values of `isInternal`; a load holds the index into this list. */
const IS_INTERNAL_VALUES = [undefined, false, true];

export function encodeCall(call: ForwardedCall): string {
  const head: CallHead = [
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
  return JSON.stringify(head);
}

/** Decodes the head of a call, as written by `encodeCall`. Throws if it is not valid JSON. */
export function decodeCall(text: string): ForwardedCall {
  const head = JSON.parse(text) as CallHead;
  return {
    requestId: head[0],
    service: head[1],
    targetId: head[2],
    callerService: head[3],
    route: head[4],
    isIdempotent: head[5],
    priority: head[6],
    remainingMs: head[7],
    usefulMs: head[8],
    method: head[9],
    path: head[10],
    fields: head[11],
  };
}

function tenths(value: number): number {
  return Math.round(value * 10) / 10;
}

function hundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

function encodeLoad(load: TargetLoad | undefined): LoadHead {
  if (load === undefined) return null;
  const head = [
    load.running,
    load.waiting,
    load.limit,
    tenths(load.serviceMs),
    hundredths(load.level),
    hundredths(load.internalShare),
    IS_INTERNAL_VALUES.indexOf(load.isInternal),
  ];
  if (load.routeMs !== undefined) head.push(tenths(load.routeMs));
  return head;
}

function decodeLoad(head: LoadHead): TargetLoad | undefined {
  if (head === null) return undefined;
  const [running = 0, waiting = 0, limit = 1, serviceMs = 0, level = 0, internalShare = 0] = head;
  const [, , , , , , isInternalIndex, routeMs] = head;
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

function encodeReplyHead(outcome: CallReply['outcome'], load: LoadHead): ReplyHead {
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
  return JSON.stringify(encodeReplyHead(outcome, encodeLoad(load)));
}

/** Decodes the head of a reply, as written by `encodeCallReply`. Throws if it is not valid JSON. */
export function decodeCallReply(text: string, body: Buffer): CallReply {
  const head = JSON.parse(text) as ReplyHead;
  const load = decodeLoad(head[1]);
  switch (head[0]) {
    case 'answered': {
      const [, , status, reason, fields, endsWithConnection] = head;
      return {
        outcome: { kind: 'answered', status, reason, fields, body, endsWithConnection },
        load,
      };
    }
    case 'refused': {
      const [, , reason, reachedTarget, roomInMs] = head;
      return { outcome: { kind: 'refused', reason, reachedTarget, roomInMs }, load };
    }
    case 'unknown':
      return { outcome: { kind: 'unknown', detail: head[2] }, load };
    default:
      return head satisfies never;
  }
}
