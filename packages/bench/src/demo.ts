import path from 'node:path';
import type { BenchContext, BenchOutcome } from './bench-context';
import type { Cluster } from './cluster';
import { runLoadScenario } from './load-run';
import { reportTable } from './report-table';
import type { PageAssets } from './report-html';
import { demoScenario } from './small-scenarios';

/** The collector of the time line ended with an error. */
const COLLECT_FAILED = 'the time line could not be collected';

/** Runs the time line collector on all daemons while they still run. */
async function collectTimeline(
  context: BenchContext,
  cluster: Cluster,
  file: string,
): Promise<void> {
  const admins = [...cluster.daemons.values()].flatMap(({ adminUrl }) => ['--admin', adminUrl]);
  const args = ['collect', '--out', file, ...admins];
  const collector = context.group.start('timeline', context.programs.timeline, args);
  const exitCode = await collector.exited;
  if (exitCode !== 0) throw new Error(`${COLLECT_FAILED}: ${collector.lastErrors}`);
}

/** Shows the whole path on a small deployment: a surge, its end, the figures and the time line. */
export async function runDemo(context: BenchContext, assets: PageAssets): Promise<BenchOutcome> {
  const file = path.join(context.outFolder, 'timeline.jsonl');
  const report = await runLoadScenario(context, demoScenario, assets, (cluster) =>
    collectTimeline(context, cluster, file),
  );
  return { report, table: `${reportTable(report)}\ntime line: ${file}` };
}
