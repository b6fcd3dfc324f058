import type { CallReply, MeshCall, RefusalReasonName, TargetLoad } from '@daisyferry/mesh/call';

// Heads are JSON lists: they carry one call each, so names of fields would be a third of the bytes.

type CallHead = [
  requestId: string,
  service: string,
  targetId: string,
  isIdempotent: boolean,
  priority: number,
  remainingMs: number,
  callerRemainingMs: number,
  usefulMs: number,
  method: string,
  path: string,
  fields: string[],
];

type LoadHead = [running: number, waiting: number, limit: number, serviceMs: number] | null;

type ReplyHead =
  | ['answered', LoadHead, number, string, string[]]
  | ['refused', LoadHead, RefusalReasonName, boolean, number]
  | ['unknown', LoadHead, string];

export function encodeCall(call: MeshCall): string {
  const head: CallHead = [
    call.requestId,
    call.service,
    call.targetId,
    call.isIdempotent,
    call.priority,
    Math.round(call.remainingMs),
    Math.round(call.callerRemainingMs),
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
    isIdempotent: head[3],
    priority: head[4],
    remainingMs: head[5],
    callerRemainingMs: head[6],
    usefulMs: head[7],
    method: head[8],
    path: head[9],
    fields: head[10],
  };
}

function encodeLoad(load: TargetLoad | undefined): LoadHead {
  if (load === undefined) return null;
  return [load.running, load.waiting, load.limit, Math.round(load.serviceMs * 10) / 10];
}

function decodeLoad(head: LoadHead): TargetLoad | undefined {
  if (head === null) return undefined;
  return { running: head[0], waiting: head[1], limit: head[2], serviceMs: head[3] };
}

export function encodeReply({ outcome, load }: CallReply): string {
  return JSON.stringify(replyHead(outcome, encodeLoad(load)));
}

function replyHead(outcome: CallReply['outcome'], load: LoadHead): ReplyHead {
  switch (outcome.kind) {
    case 'answered':
      return ['answered', load, outcome.status, outcome.reason, outcome.fields as string[]];
    case 'refused':
      return ['refused', load, outcome.reason, outcome.reachedTarget, outcome.roomInMs];
    case 'unknown':
      return ['unknown', load, outcome.detail];
    default:
      return outcome satisfies never;
  }
}

/** Decodes a reply's head as `encodeReply` wrote it. Throws on other text. */
export function decodeReply(text: string, body: Buffer): CallReply {
  const head = JSON.parse(text) as ReplyHead;
  const load = decodeLoad(head[1]);
  switch (head[0]) {
    case 'answered': {
      const [, , status, reason, fields] = head;
      return { outcome: { kind: 'answered', status, reason, fields, body }, load };
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
