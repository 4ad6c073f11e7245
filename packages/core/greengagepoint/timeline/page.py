"""The page around the rows of a time line."""

from string import Template
from typing import Final

PAGE: Final = Template("""\
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
 content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<title>$title</title>
<style>
body { font: 13px sans-serif; margin: 1em }
form { position: sticky; top: 0; background: #fff; padding: .5em 0 }
input { margin-right: 1em }
table { border-collapse: collapse }
th { position: sticky; top: 2.6em; background: #eee }
td, th { border: 1px solid #ddd; padding: 2px 6px; vertical-align: top;
 text-align: left; overflow-wrap: anywhere }
.time { white-space: nowrap; font-family: monospace }
.debug { color: #666 }
.warning td:not(:empty) { background: #fff3cd }
.error td:not(:empty) { background: #f8d7da }
b { font-weight: normal; cursor: pointer; text-decoration: underline dotted }
</style>
</head>
<body>
<h1>$title</h1>$missing
<form>
<label>request id <input name="requestId"></label>
<label>team <input name="team"></label>
<label>site <input name="site"></label>
<label>kind <input name="kind"></label>
<label>host <input name="host"></label>
<button type="reset">all</button>
<output>$count</output> of $count events
</form>
<table>
<thead><tr><th>time</th>$heads</tr></thead>
<tbody>
$rows
</tbody>
</table>
<script>
"use strict";
const form = document.querySelector("form");
const rows = Array.from(document.querySelectorAll("tbody tr"));
function apply() {
  const wanted = Array.from(form.querySelectorAll("input"))
    .filter((box) => box.value !== "");
  let shown = 0;
  for (const row of rows) {
    const fits = wanted.every((box) => row.dataset[box.name].includes(box.value));
    row.hidden = !fits;
    shown += fits ? 1 : 0;
  }
  form.querySelector("output").value = shown;
}
form.addEventListener("input", apply);
form.addEventListener("submit", (event) => event.preventDefault());
form.addEventListener("reset", () => setTimeout(apply));
document.querySelector("tbody").addEventListener("click", (event) => {
  if (event.target.tagName !== "B") return;
  const name = event.target.parentElement.textContent.split("=")[0];
  const box = {request_id: "requestId", team: "team", site: "site"}[name];
  if (!box) return;
  form.elements[box].value = event.target.textContent;
  apply();
});
</script>
</body>
</html>
""")
