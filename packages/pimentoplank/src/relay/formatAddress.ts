/** Formats an address as it is written in reports and settings. */
export function formatAddress ({ host, port }: { host: string, port: number }): string {
  return `${host}:${port}`
}
