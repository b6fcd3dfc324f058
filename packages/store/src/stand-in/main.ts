import { isIP } from 'node:net';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { StandInStoreServer } from './stand-in-store-server';

const EXIT_BAD_INPUT = 2;

const options = yargs(hideBin(process.argv))
  .scriptName('daisyferry-store-stand-in')
  .usage('$0 [options]\n\nServes an in-memory key-value store for tests and demonstrations.')
  .option('address', { type: 'string', default: '127.0.0.1', describe: 'IP address to listen on' })
  .option('port', { type: 'number', default: 0, describe: 'TCP port; 0 selects a free one' })
  .check(({ address }) => isIP(address) !== 0 || 'address: expected an IP address')
  .fail((message) => {
    process.stderr.write(`${message}\n`);
    process.exit(EXIT_BAD_INPUT);
  })
  .strict()
  .parseSync();

const server = new StandInStoreServer();
const listening = await server.listen(options.address, options.port);
process.stdout.write(`${JSON.stringify({ listening })}\n`);

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    server.close().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  });
}
