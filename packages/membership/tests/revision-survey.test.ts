import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import { describe, expect, it } from 'vitest';
import { MemberTable } from '../src/member-table';
import { RevisionSurvey } from '../src/revision-survey';
import { FakePeers, raiseRevision } from './fake-peers';

describe('revision survey', () => {
  it('reports the daemons behind a revision and those that do not reply', async () => {
    const peers = new FakePeers();
    const added = Array.from({ length: 100 }, (_, number) =>
      peers.add(number, number === 42 ? 3 : 5),
    );
    for (const { table } of added) peers.addPeersTo(table);
    const unresponsive = added[17];
    if (unresponsive !== undefined) unresponsive.replyMode = 'unresponsive';
    const replica = new MemoryPolicyReplica();
    raiseRevision(replica, 5);
    const table = peers.addPeersTo(new MemberTable());
    const survey = new RevisionSurvey('vault-0', table, replica, peers);
    const result = await survey.surveyAll(5);
    expect(result).toEqual({
      asked: 100,
      lagging: [{ name: 'vault-42', revision: 3 }],
      unreachable: ['vault-17'],
    });
    expect(peers.calls.filter(({ method }) => method === 'status.revisions').length).toBeLessThan(
      12,
    );
  });
});
