/** Selects the keys of a read or a watch. */
export interface KeyQuery {
  readonly key: string;
  /** Also selects all keys that start with `key`. */
  readonly prefix?: boolean;
  /** Selects only keys after this one, for pagination. */
  readonly after?: string;
}

/** True if the query selects the key. */
export function matchesKeyQuery(query: KeyQuery, key: string): boolean {
  if (query.after !== undefined && key <= query.after) return false;
  return query.prefix === true ? key.startsWith(query.key) : key === query.key;
}
