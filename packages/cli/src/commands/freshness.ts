import type { CommandContext } from '../command-context';
import { parseConfigurationAge } from '../configuration-age';
import { CliExitCode } from '../exit-code';
import { formatTable } from '../table';

const HEADER = ['DAEMON', 'VERSION', 'AGE MS', 'WITHOUT ACCOUNT'];
const UNKNOWN = '-';

/** `freshness`: prints how old the daemons' knowledge of the configuration is. */
export async function showFreshness(
  context: CommandContext,
  addresses: readonly string[],
): Promise<void> {
  const daemons = await Promise.all(
    addresses.map(async (address) => {
      const metrics = await context.readMetrics(address);
      return { address, ...(metrics !== undefined && parseConfigurationAge(metrics)) };
    }),
  );
  const rows = daemons.map(({ address, version, ageMs, unidentified = {} }) => [
    address,
    String(version ?? UNKNOWN),
    String(ageMs ?? UNKNOWN),
    Object.entries(unidentified)
      .map(([cause, count]) => `${cause} ${count}`)
      .join(', '),
  ]);
  context.printValue(daemons, formatTable(HEADER, rows));
  const silent = daemons.filter(({ version }) => version === undefined);
  if (silent.length > 0) {
    const names = silent.map(({ address }) => address).join(', ');
    context.fail(CliExitCode.unreachable, `no metrics of a daemon: ${names}`);
  }
}
