import type { CallReply, MeshCall, RefusalReasonName, TargetLoad } from '@daisyferry/mesh/call';

// Heads are JSON lists: they carry one call each, so names of fields would be a third of the bytes.

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
  | ['refused', LoadHead, RefusalReasonName, boolean, number]
  | ['unknown', LoadHead, string];

/** Places in this list stand for what a home knows of a route's callers. */
const INTERNAL_CODES = [undefined, false, true];

export function encodeCall(call: MeshCall): string {
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

/** Decodes a call's head as `encodeCall` wrote it. Throws on other text. */
export function decodeCall(text: string): MeshCall {
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
    INTERNAL_CODES.indexOf(load.isInternal),
  ];
  if (load.routeMs !== undefined) head.push(tenths(load.routeMs));
  return head;
}

function decodeLoad(head: LoadHead): TargetLoad | undefined {
  if (head === null) return undefined;
  const [running = 0, waiting = 0, limit = 1, serviceMs = 0, level = 0, internalShare = 0] = head;
  const [, , , , , , internal, routeMs] = head;
  return {
    running,
    waiting,
    limit,
    serviceMs,
    level,
    internalShare,
    isInternal: INTERNAL_CODES[internal ?? 0],
    routeMs,
  };
}

function replyHead(outcome: CallReply['outcome'], load: LoadHead): ReplyHead {
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

export function encodeReply({ outcome, load }: CallReply): string {
  return JSON.stringify(replyHead(outcome, encodeLoad(load)));
}

/** Decodes a reply's head as `encodeReply` wrote it. Throws on other text. */
export function decodeReply(text: string, body: Buffer): CallReply {
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
