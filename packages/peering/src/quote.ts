/** Maximum number of characters of a value that are quoted. */
const MAX_QUOTED_LENGTH = 40;

/** Shortens a value of another process for the text of a problem. */
export function quote(value: unknown): string {
  if (typeof value === 'object' && value !== null)
    return Array.isArray(value) ? 'a list' : 'an object';
  const text = typeof value === 'string' ? JSON.stringify(value) : String(value);
  return text.length > MAX_QUOTED_LENGTH ? `${text.slice(0, MAX_QUOTED_LENGTH)}...` : text;
}
