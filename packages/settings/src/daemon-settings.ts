import { z } from 'zod';

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/);
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: 'expected an IPv4 or IPv6 address' });
const port = z.int().min(0).max(65_535);

export const tlsSettingsSchema = z.strictObject({
  keyFile: z.string().min(1),
  certificateFile: z.string().min(1),
  authorityFile: z.string().min(1),
});

const listenerSchema = z.strictObject({ address: ipAddress, port });

const secureListenerSchema = listenerSchema.extend({
  tls: tlsSettingsSchema.optional(),
  /** States that the network is trusted; needed to bind beyond loopback without TLS. */
  trustedNetwork: z.boolean().default(false),
});

const peerAddressSchema = z.strictObject({ address: ipAddress, port: z.int().min(1).max(65_535) });

export const daemonSettingsSchema = z.strictObject({
  /** Unique in the fleet; stable over restarts. */
  name,
  /** Daemons of different clusters ignore each other. */
  cluster: name,
  service: name,
  dataCentre: name,
  region: name,
  /** Calls that the target accepts at one time. */
  slots: z.int().min(1).max(100_000),
  /** Connections that the target accepts. */
  connections: z.int().min(1).max(1_000_000),
  /** Address that peers are told; the peer listener's own unless it listens on all addresses. */
  advertisedAddress: ipAddress.optional(),
  listeners: z.strictObject({
    /** Calls from outside callers. */
    callers: secureListenerSchema,
    /** Announcements and nested calls of the target beside this daemon. */
    local: listenerSchema,
    /** Calls and JSON-RPC from other daemons. */
    peers: secureListenerSchema,
    /** Gossip datagrams. */
    gossip: listenerSchema,
    /** Administration API. */
    admin: secureListenerSchema,
  }),
  store: z.strictObject({
    endpoints: z.array(z.url()).max(16),
    timeoutMs: z.int().min(10).max(60_000).default(1_000),
  }),
  /** Gossip addresses used to join while the store is down. */
  seeds: z.array(peerAddressSchema).max(64).default([]),
  /** File with the shared key that signs gossip and tickets. */
  clusterKeyFile: z.string().min(1).optional(),
  /** Names of operators' certificates that may change policies; empty admits any verified one. */
  operators: z.array(z.string().min(1)).max(1_000).default([]),
  limits: z
    .strictObject({
      maxHeaderBytes: z.int().min(1_024).max(262_144).default(16_384),
      maxBodyBytes: z.int().min(0).max(1_073_741_824).default(16_777_216),
      /** Bodies up to this length are read whole, so that an idempotent call can be repeated. */
      maxHeldBodyBytes: z.int().min(0).max(1_048_576).default(16_384),
      maxCallerConnections: z.int().min(1).max(1_000_000).default(10_000),
      recordBytes: z.int().min(1_024).max(1_073_741_824).default(33_554_432),
      idleTimeoutMs: z.int().min(100).max(600_000).default(60_000),
    })
    .prefault({}),
  timeline: z
    .strictObject({
      ringEvents: z.int().min(16).max(1_000_000).default(8_192),
      /** Share of root requests whose events are kept; changes of state are always kept. */
      sampleRatio: z.number().min(0).max(1).default(0.01),
    })
    .prefault({}),
  /** `passThrough` switches all decisions off; used as the baseline of measurements. */
  mode: z.enum(['full', 'passThrough']).default('full'),
  /** Mechanisms switched off, for measuring what each earns. */
  disabledMechanisms: z.array(z.string()).max(32).default([]),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

export type DaemonSettings = Readonly<z.infer<typeof daemonSettingsSchema>>;
/** The settings as they stand in the file, before defaults. */
export type DaemonSettingsInput = z.input<typeof daemonSettingsSchema>;
export type TlsSettings = Readonly<z.infer<typeof tlsSettingsSchema>>;
