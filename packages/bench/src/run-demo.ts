import path from 'node:path';
import type { BenchContext, BenchOutcome } from './bench-context';
import type { Cluster } from './cluster';
import { runLoadScenario } from './load-run';
import { reportTable } from './report-table';
import type { PageAssets } from './report-html';
import { demoScenario } from './small-scenarios';

const COLLECTION_FAILED = 'collecting the timeline failed';

/** Collects the timeline of all daemons before they stop. */
async function collectTimeline(
  context: BenchContext,
  cluster: Cluster,
  file: string,
): Promise<void> {
  const admins = [...cluster.daemons.values()].flatMap(({ adminUrl }) => ['--admin', adminUrl]);
  const args = ['collect', '--out', file, ...admins];
  const collector = context.group.start('timeline', context.programs.timeline, args);
  const exitCode = await collector.exited;
  if (exitCode !== 0) throw new Error(`${COLLECTION_FAILED}: ${collector.lastErrors}`);
}

/** Runs a surge on a small deployment, collects the timeline and reports the figures. */
export async function runDemo(context: BenchContext, assets: PageAssets): Promise<BenchOutcome> {
  const file = path.join(context.outFolder, 'timeline.jsonl');
  const report = await runLoadScenario(context, demoScenario, assets, (cluster) =>
    collectTimeline(context, cluster, file),
  );
  return { report, table: `${reportTable(report)}\ntimeline: ${file}` };
}
