# bash completion for berylvanectl
_berylvanectl()
{
    local word=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}
    case $previous in
    --base | --overlay | --against | -b | -o)
        mapfile -t COMPREPLY < <(compgen -f -- "$word")
        return
        ;;
    explain)
        mapfile -t COMPREPLY < <(compgen -W \
            "request member config counts" -- "$word")
        return
        ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "validate check render diff apply \
status drain watch explain --platform --node --token --base --overlay --site \
--against --json --strict --wait --help --version" -- "$word")
}
complete -F _berylvanectl berylvanectl
