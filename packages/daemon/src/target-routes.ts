import type { LocalTarget } from '@daisyferry/callpath/local-target';
import type { TargetStatus } from '@daisyferry/model/local-api';
import { LocalPath } from '@daisyferry/model/local-api';
import type { Scheduler } from '@daisyferry/model/scheduler';
import { checkDocument, formatProblem } from '@daisyferry/settings/check-document';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';

export const announceSchema = z.strictObject({
  address: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(1).max(65_535),
  slots: z.int().min(1).max(100_000).optional(),
  connections: z.int().min(1).max(1_000_000).optional(),
});

export type Announcement = Readonly<z.infer<typeof announceSchema>>;

export interface TargetRoutesOptions {
  readonly daemonName: string;
  readonly heartbeatIntervalMs: number;
  readonly target: LocalTarget;
  readonly scheduler: Scheduler;
  readonly inFlight: () => number;
  /** Applies an announcement before the target is marked as announced. */
  readonly onAnnounce: (announcement: Announcement, nowMs: number) => void;
  readonly onLeave: (nowMs: number) => void;
}

const BAD_REQUEST_STATUS = 400;
const CONFLICT_STATUS = 409;

/** Registers the routes for announcements, heartbeats, departure and state of the local target. */
export function registerTargetRoutes(app: FastifyInstance, options: TargetRoutesOptions): void {
  const { target, scheduler } = options;
  const status = (): TargetStatus => ({
    daemon: options.daemonName,
    state: target.state,
    heartbeatIntervalMs: options.heartbeatIntervalMs,
    inFlight: options.inFlight(),
  });

  app.post(LocalPath.announce, (request, reply) => {
    const validation = checkDocument(announceSchema, request.body);
    if (!validation.ok) {
      reply.code(BAD_REQUEST_STATUS).send({ problems: validation.problems.map(formatProblem) });
      return;
    }
    const nowMs = scheduler.nowMs();
    options.onAnnounce(validation.value, nowMs);
    target.announce(validation.value, nowMs);
    reply.send(status());
  });

  app.post(LocalPath.heartbeat, (_request, reply) => {
    if (target.state === 'absent' || target.state === 'left') {
      reply.code(CONFLICT_STATUS).send(status());
      return;
    }
    target.heartbeat(scheduler.nowMs());
    reply.send(status());
  });

  app.post(LocalPath.leave, (_request, reply) => {
    options.onLeave(scheduler.nowMs());
    reply.send(status());
  });

  app.get(LocalPath.state, (_request, reply) => {
    reply.send(status());
  });
}
